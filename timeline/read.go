package timeline

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/bamboostep/bamboostep"
)

// This file reads log lines back into events, for whoever has nothing but the logs.
//
// Each line carries its event's stamp, so lines of many processes merge in the order
// of cause although their clocks differ. A line without one, of an older release,
// falls back on its time. Lines that are no event, of another program or cut off in
// the middle, are passed over and counted.

const maxLogLine = 1 << 20 // bytes

// Names of a log line's fields.
const (
	fieldTime     = "time"
	fieldKind     = "msg"
	fieldProcess  = "process"
	fieldStamp    = "stamp"
	fieldRequest  = "request"
	fieldAttempt  = "attempt"
	fieldModel    = "model"
	fieldVM       = "vm"
	fieldContent  = "content"
	fieldRevision = "revision"
	fieldTerm     = "term"
	fieldDetail   = "detail"
)

const stampBase = 36

// LineError says what is wrong with a field of a log line.
type LineError struct {
	Field string
	Value string
	Cause error
}

// Error implements error.
func (e *LineError) Error() string {
	return fmt.Sprintf("field %s: %q: %v", e.Field, e.Value, e.Cause)
}

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }

// ReadLog returns the events of a log, in its order, and how many lines are none.
func ReadLog(r io.Reader) (events []Event, skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		e, err := parseLine(lines.Bytes())
		if err != nil || e.Kind == "" || e.Stamp == 0 {
			skipped++
			continue
		}
		events = append(events, e)
	}
	return events, skipped, lines.Err()
}

// parseLine reads one log line. A line that is no event has no kind or no stamp.
func parseLine(line []byte) (Event, error) {
	var e Event
	d := logfmt.NewDecoder(bytes.NewReader(line))
	if !d.ScanRecord() {
		return e, d.Err()
	}
	var at time.Time
	for d.ScanKeyval() {
		if err := e.setField(string(d.Key()), string(d.Value()), &at); err != nil {
			return e, err
		}
	}
	if e.Stamp == 0 && !at.IsZero() {
		e.Stamp = wallStamp(at)
	}
	return e, d.Err()
}

// setField takes one field of a line. Fields that it does not know are passed over.
func (e *Event) setField(key, value string, at *time.Time) error {
	var err error
	switch key {
	case fieldTime:
		*at, err = time.Parse(time.RFC3339Nano, value)
	case fieldStamp:
		var n uint64
		n, err = strconv.ParseUint(value, stampBase, 64)
		e.Stamp = Stamp(n)
	case fieldRevision:
		e.Revision, err = strconv.ParseUint(value, 10, 64)
	case fieldTerm:
		e.Term, err = strconv.ParseUint(value, 10, 64)
	case fieldKind:
		e.Kind = value
	case fieldProcess:
		e.Process = value
	case fieldRequest:
		e.Request = bamboostep.RequestID(value)
	case fieldAttempt:
		e.Attempt = bamboostep.AttemptID(value)
	case fieldModel:
		e.Model = value
	case fieldVM:
		e.VM = value
	case fieldContent:
		e.Content = value
	case fieldDetail:
		e.Detail = value
	}
	if err != nil {
		return &LineError{key, value, err}
	}
	return nil
}
