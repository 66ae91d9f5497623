package main

import (
	"fmt"
	"io"
	"os"

	"github.com/bamboostep/bamboostep/timeline"
)

// The time line from log files alone, for when the processes are gone or their rings
// have long been written over.

const standardInput = "-"

// eventsOfLogs returns the events of log files that q selects, in their order over all
// of them. It tells notes how many lines of a file were no events.
func eventsOfLogs(files []string, q timeline.Query, notes io.Writer) ([]timeline.Event, error) {
	var lists [][]timeline.Event
	for _, name := range files {
		events, skipped, err := readLog(name)
		if err != nil {
			return nil, fmt.Errorf("log %s: %w", name, err)
		}
		if skipped > 0 {
			fmt.Fprintf(notes, "log %s: %d lines are no events\n", name, skipped)
		}
		lists = append(lists, q.Select(events))
	}
	return timeline.Merge(lists...), nil
}

func readLog(name string) ([]timeline.Event, int, error) {
	if name == standardInput {
		return timeline.ReadLog(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	return timeline.ReadLog(f)
}
