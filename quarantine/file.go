package quarantine

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bamboostep/bamboostep/internal/sumfile"
	"github.com/bamboostep/bamboostep/timeline"
)

// File keeps a voter's suspects on its disk. Set the exported fields before Run.
type File struct {
	Name     string
	Table    *Table
	Recorder *timeline.Recorder

	changed chan struct{}
}

// saveRest is the time between two savings, so that a storm of crashes costs the disk
// little.
const saveRest = 100 * time.Millisecond

// Restore takes in what the file holds. A damaged file is reported and passed over, since
// other processes know the same. Call it once, before Run and Changed.
func (f *File) Restore() {
	f.changed = make(chan struct{}, 1)
	body, err := sumfile.Read(f.Name)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var n note
	if err == nil {
		err = msgpack.Unmarshal(body, &n)
	}
	if err != nil {
		f.Recorder.Record(timeline.Event{Kind: "quarantine_not_restored", Detail: err.Error()})
		return
	}
	f.Table.Note(time.Now(), n.Records)
}

// Changed has the file written soon.
func (f *File) Changed() {
	select {
	case f.changed <- struct{}{}:
	default: // it will be
	}
}

// Run writes the file after changes until ctx ends.
func (f *File) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			f.saveLast()
			return ctx.Err()
		case <-f.changed:
		}
		f.save()
		pause(ctx, saveRest)
	}
}

// saveLast writes what changed since it was last written.
func (f *File) saveLast() {
	select {
	case <-f.changed:
		f.save()
	default:
	}
}

// save writes the requests that were at more than one crash. The others are too many
// in a storm of crashes, and worth little.
func (f *File) save() {
	var n note
	for _, r := range f.Table.All() {
		if len(r.Crashes) >= suspectCrashes {
			n.Records = append(n.Records, r)
		}
	}
	body, err := msgpack.Marshal(n)
	if err == nil {
		err = sumfile.Write(f.Name, body)
	}
	if err != nil {
		f.Recorder.Record(timeline.Event{Kind: "quarantine_not_saved", Detail: err.Error()})
	}
}
