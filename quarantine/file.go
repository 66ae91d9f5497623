package quarantine

import (
	"context"
	"errors"
	"io/fs"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bamboostep/bamboostep/internal/sumfile"
	"github.com/bamboostep/bamboostep/internal/timer"
	"github.com/bamboostep/bamboostep/timeline"
)

// File saves a voter's suspects to disk. Set the exported fields, then call Restore, then
// Run and ScheduleSave.
type File struct {
	Path     string // path of the file
	Table    *Table
	Recorder *timeline.Recorder

	saveRequested chan struct{} // buffered with one element
}

// saveInterval is the pause after each save. It bounds the disk load when many crashes
// happen at once.
const saveInterval = 100 * time.Millisecond

// Restore merges the records of the file into the table. A missing file is ignored. A
// damaged file is logged and ignored, since other processes have the same records. Call it
// once, before Run and ScheduleSave.
func (f *File) Restore() {
	f.saveRequested = make(chan struct{}, 1)
	body, err := sumfile.Read(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var o Observations
	if err == nil {
		err = msgpack.Unmarshal(body, &o)
	}
	if err != nil {
		f.Recorder.Record(timeline.Event{Kind: "quarantine_not_restored", Detail: err.Error()})
		return
	}
	now := time.Now()
	f.Table.Merge(now, o.Records)
	f.Table.MergeParts(now, o.Parts)
}

// ScheduleSave schedules a save. It does not block.
func (f *File) ScheduleSave() {
	select {
	case f.saveRequested <- struct{}{}:
	default: // a save is already scheduled
	}
}

// Run saves the table after changes until ctx ends, and then saves pending changes.
func (f *File) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			f.savePending()
			return ctx.Err()
		case <-f.saveRequested:
		}
		f.save()
		timer.Sleep(ctx, saveInterval)
	}
}

// savePending saves the table if a save is scheduled.
func (f *File) savePending() {
	select {
	case <-f.saveRequested:
		f.save()
	default:
	}
}

// save writes the records with at least suspectThreshold crashes. Records with one crash are
// numerous when many backend servers crash, and do not restrict their requests.
func (f *File) save() {
	o := Observations{withCrashes(f.Table.Records(), suspectThreshold), withCrashes(f.Table.PartRecords(), suspectThreshold)}
	body, err := msgpack.Marshal(o)
	if err == nil {
		err = sumfile.Write(f.Path, body)
	}
	if err != nil {
		f.Recorder.Record(timeline.Event{Kind: "quarantine_not_saved", Detail: err.Error()})
	}
}

// withCrashes returns the records with at least n crashes.
func withCrashes(records []Record, n int) []Record {
	return slices.DeleteFunc(records, func(r Record) bool { return len(r.Crashes) < n })
}
