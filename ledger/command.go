package ledger

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bamboostep/bamboostep"
)

// Commands are what the log carries. Each may stand in the log twice, because a
// client sends it again after a lost answer; the machine gives the second the
// answer of the first. A publication is known by its ID, a claim and a settlement
// by their attempt, a drain by an ID that the client makes.

// command is one wish to change the state. Exactly one of the pointers is set.
type command struct {
	At      time.Time     `msgpack:"at"`      // wall clock of the leader that took it
	Elapsed time.Duration `msgpack:"elapsed"` // ledger time; see machine.now

	Publish *bamboostep.Publication `msgpack:"publish,omitempty"`
	Number  *numberCommand          `msgpack:"number,omitempty"`
	Claim   *bamboostep.Claim       `msgpack:"claim,omitempty"`
	Settle  *bamboostep.Settlement  `msgpack:"settle,omitempty"`
	Drain   *drainCommand           `msgpack:"drain,omitempty"`
}

// numberCommand publishes a set under a number of the operator's choosing. The
// highest number wins; a lower or equal one changes nothing.
type numberCommand struct {
	Number uint64 `msgpack:"number"`
	Set    []byte `msgpack:"set"`
}

type drainCommand struct {
	ID      string `msgpack:"id"`
	VM      string `msgpack:"vm"`
	Leaving bool   `msgpack:"leaving"`
}

// operation names c in errors and metrics.
func (c command) operation() string {
	switch {
	case c.Publish != nil, c.Number != nil:
		return "publish"
	case c.Claim != nil:
		return "claim"
	case c.Settle != nil:
		return "settle"
	}
	return "drain"
}

func (c command) encode() ([]byte, error) {
	data, err := msgpack.Marshal(&c)
	if err != nil {
		return nil, fmt.Errorf("command %q: %w", c.operation(), err)
	}
	return data, nil
}

func decodeCommand(data []byte) (command, error) {
	var c command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return command{}, fmt.Errorf("command: %w", err)
	}
	return c, nil
}

// result is what applying a command gave.
type result struct {
	Revision bamboostep.Revision    `msgpack:"revision"`
	Conflict *conflict              `msgpack:"conflict"`
	Claim    bamboostep.ClaimResult `msgpack:"claim"`
	Refused  string                 `msgpack:"refused"` // why nothing was applied, snake case
	Detail   string                 `msgpack:"detail"`
}

type conflict struct {
	Based  uint64              `msgpack:"based"`
	Newest bamboostep.Revision `msgpack:"newest"`
}

// The reasons for which the machine refuses a command.
const (
	refusedNotHolder  = "not_holder"
	refusedClaimsFull = "claims_full"
	refusedBadCommand = "bad_command"
)

// RefusedError says that a command was committed and changed nothing, and why.
type RefusedError struct {
	Operation string
	Code      string // snake case
	Detail    string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("ledger refused to %s (%s): %s", e.Operation, e.Code, e.Detail)
}
