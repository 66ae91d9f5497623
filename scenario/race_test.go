package main

import (
	"errors"
	"fmt"
	"strconv"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/operator"
)

// rival is one of two operators who publish from the same revision.
type rival struct {
	client   *operator.Client
	id       string
	set      *catalog.Set
	revision bamboostep.Revision
	err      error
}

// race lets two operators publish from one revision, each through an entry of its
// own, for a number of rounds. In each round one must win, the other must be told
// who did, and the winner's publish sent again through the other entry must get
// the first answer.
func (s *scenario) race(ts *testscript.TestScript, args []string) error {
	rounds, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	left := &operator.Client{Entries: []string{s.cluster.OperatorsURL(args[0])}}
	right := &operator.Client{Entries: []string{s.cluster.OperatorsURL(args[1])}}
	set, err := left.Set(s.ctx)
	if err != nil {
		return err
	}
	for range rounds {
		if set, err = s.raceOnce(left, right, set); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) raceOnce(left, right *operator.Client, set *catalog.Set) (*catalog.Set, error) {
	based := set.Revision()
	a := &rival{client: left, id: fmt.Sprintf("left-%d", based), set: withFirstToken(set, int64(2*based))}
	b := &rival{client: right, id: fmt.Sprintf("right-%d", based), set: withFirstToken(set, int64(2*based+1))}
	var both sync.WaitGroup
	for _, r := range []*rival{a, b} {
		both.Go(func() { r.revision, r.err = r.client.Publish(s.ctx, r.id, based, r.id, r.set) })
	}
	both.Wait()
	winner, loser := a, b
	if b.err == nil {
		winner, loser = b, a
	}
	if winner.err != nil || winner.revision.Number != based+1 {
		return nil, fmt.Errorf("nobody won from revision %d: %v, %v", based, a.err, b.err)
	}
	var conflict *operator.ConflictError
	if !errors.As(loser.err, &conflict) || conflict.Newest.ID != winner.id || conflict.Newest.Number != based+1 {
		return nil, fmt.Errorf("loser from revision %d got %v, want a conflict with %q", based, loser.err, winner.id)
	}
	again, err := loser.client.Publish(s.ctx, winner.id, based, winner.id, winner.set)
	if err != nil || again.Number != winner.revision.Number {
		return nil, fmt.Errorf("winner sent again from revision %d got %d, %v", based, again.Number, err)
	}
	return winner.set.WithRevision(based + 1), nil
}

func withFirstToken(s *catalog.Set, ms int64) *catalog.Set {
	o := s.Objects()
	models := append([]bamboostep.Model(nil), o.Models...)
	models[0].FirstTokenMS = ms
	o.Models = models
	return catalog.New(o)
}
