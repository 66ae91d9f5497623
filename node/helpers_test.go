package main

import (
	"context"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/timeline"
)

// testProcess returns a process without a wire node and without metrics.
func testProcess(cfg platform.Settings) *process {
	return &process{
		ctx:      context.Background(),
		cfg:      cfg,
		recorder: &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}},
	}
}
