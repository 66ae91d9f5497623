package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/operator"
	"github.com/bamboostep/bamboostep/timeline"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:         "status",
		Usage:        "show the copies of each model and the memory of each VM",
		Flags:        entryFlags(&cli.BoolFlag{Name: "problems", Usage: "only models that lack copies and VMs that are not ready"}),
		OnUsageError: usageError,
		Action:       action(status, writeStatus),
	}
}

func status(ctx context.Context, cmd *cli.Command) (operator.Status, error) {
	client, err := newClient(cmd)
	if err != nil {
		return operator.Status{}, err
	}
	s, err := client.Status(ctx)
	if cmd.Bool("problems") {
		s = s.Problems()
	}
	return s, err
}

func writeStatus(w io.Writer, s operator.Status) {
	writeControl(w, s)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintf(t, "\nKIND\tNAME\tPLACE\tCOPIES\tWHERE\n")
	for _, m := range s.Models {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d/%d\t%s\n", m.Kind, m.Name, m.Place, m.Resident(), m.Wanted, where(m))
	}
	fmt.Fprintf(t, "\nVM\tPLACE\tFAILURE DOMAIN\tSTATE\tMEMORY MIB\tRESERVED\tHELD\tRUNNING\tWAITING\tREVISION\n")
	for _, v := range s.VMs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", v.Name, v.Place, v.FailureDomain, v.State,
			v.MemoryMiB, v.ReservedMiB, v.HeldMiB, v.Running, v.Waiting, v.Revision)
	}
}

func writeControl(w io.Writer, s operator.Status) {
	proven := "never proven newest"
	if !s.ProvenAt.IsZero() {
		proven = "proven newest at " + s.ProvenAt.UTC().Format(time.RFC3339)
	}
	fmt.Fprintf(w, "entry %s: revision %d, %s\n", s.Entry, s.Revision, proven)
	leader := s.Leader
	if leader == "" {
		leader = "none"
	}
	fmt.Fprintf(w, "ledger: leader %s, term %d, voters", leader, s.Term)
	for _, v := range s.Voters {
		fmt.Fprintf(w, " %s (%s)", v.Name, reachable(v.Reachable))
	}
	fmt.Fprintln(w)
	for _, e := range s.Entries {
		fmt.Fprintf(w, "entry %s: %s, revision %d\n", e.Name, reachable(e.Reachable), e.Revision)
	}
}

func reachable(ok bool) string {
	if ok {
		return "reachable"
	}
	return "unreachable"
}

func where(m operator.ModelStatus) string {
	var copies []string
	for _, c := range m.Copies {
		copies = append(copies, c.VM+copyNote(c))
	}
	return strings.Join(copies, ", ")
}

// copyNote says why a copy answers no new requests, if so.
func copyNote(c operator.CopyStatus) string {
	switch {
	case c.State != bamboostep.ReplicaResident:
		return " (" + string(c.State) + ")"
	case !c.Ready:
		return " (not ready)"
	}
	return ""
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:         "drain",
		Usage:        "give a VM no new work",
		ArgsUsage:    "VM",
		Flags:        entryFlags(waitFlag(), &cli.BoolFlag{Name: "undo", Usage: "give it work again"}),
		OnUsageError: usageError,
		Action:       action(drain, writeDrain),
	}
}

type drainOutput struct {
	VM      string `json:"vm"`
	Leaving bool   `json:"leaving"`
}

func drain(ctx context.Context, cmd *cli.Command) (drainOutput, error) {
	vm, err := oneArgument(cmd, "VM")
	if err != nil {
		return drainOutput{}, err
	}
	client, err := newClient(cmd)
	if err != nil {
		return drainOutput{}, err
	}
	out := drainOutput{vm, !cmd.Bool("undo")}
	return out, client.Drain(ctx, out.VM, out.Leaving)
}

func writeDrain(w io.Writer, d drainOutput) {
	if d.Leaving {
		fmt.Fprintf(w, "%s gets no new work\n", d.VM)
		return
	}
	fmt.Fprintf(w, "%s gets work again\n", d.VM)
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show events over all processes in their order",
		Flags: entryFlags(
			&cli.StringFlag{Name: "request", Usage: "only events of the request `ID`"},
			&cli.StringFlag{Name: "model", Usage: "only events of the model, adapter or service `NAME`"},
			&cli.StringFlag{Name: "vm", Usage: "only events of the VM or backend server `NAME`"},
			&cli.StringFlag{Name: "content", Usage: "only events of requests with the content `HASH`, whichever ID each sending had"},
			&cli.TimestampFlag{Name: "since", Usage: "only events at or after `TIME`", Config: timestampConfig},
			&cli.TimestampFlag{Name: "until", Usage: "only events at or before `TIME`", Config: timestampConfig},
			&cli.StringSliceFlag{Name: "log", Usage: "read the log `FILE` of processes instead of asking entries, - for standard input; may be repeated"},
		),
		OnUsageError: usageError,
		Action:       action(findEvents, writeEvents),
	}
}

var timestampConfig = cli.TimestampConfig{Layouts: []string{time.RFC3339Nano}}

func findEvents(ctx context.Context, cmd *cli.Command) ([]timeline.Event, error) {
	q := timeline.Query{
		Request: bamboostep.RequestID(cmd.String("request")),
		Model:   cmd.String("model"),
		VM:      cmd.String("vm"),
		Content: cmd.String("content"),
		Since:   cmd.Timestamp("since"),
		Until:   cmd.Timestamp("until"),
	}
	if files := cmd.StringSlice("log"); len(files) > 0 {
		return eventsOfLogs(files, q, cmd.Root().ErrWriter)
	}
	client, err := newClient(cmd)
	if err != nil {
		return nil, err
	}
	return client.Timeline(ctx, q)
}

func writeEvents(w io.Writer, events []timeline.Event) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	for _, e := range events {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", e.Stamp.Time().UTC().Format("15:04:05.000"), e.Process, e.Kind, eventFields(e))
	}
}

func eventFields(e timeline.Event) string {
	var fields []string
	add := func(key, value string) {
		if value != "" {
			fields = append(fields, key+"="+value)
		}
	}
	add("request", string(e.Request))
	add("attempt", string(e.Attempt))
	add("model", e.Model)
	add("vm", e.VM)
	add("content", e.Content)
	if e.Revision > 0 {
		add("revision", fmt.Sprint(e.Revision))
	}
	if e.Term > 0 {
		add("term", fmt.Sprint(e.Term))
	}
	add("detail", e.Detail)
	return strings.Join(fields, " ")
}
