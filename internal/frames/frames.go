// Package frames checks that the messages and stored records of an earlier build are read
// and written unchanged.
//
// A fixture file has a line for each type: its name, and the bytes in hexadecimal that the
// earlier build encoded from a value with every field set. Decoding them into today's type
// and encoding the result must give the same bytes: a field that is renamed on the wire,
// left out or moved within an array makes a difference.
package frames

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// Check holds the types, by their names in the fixture file, against the file. It reports
// names that only one of them has.
func Check(t *testing.T, file string, types map[string]any) {
	t.Helper()
	fixtures := read(t, file)
	for name := range fixtures {
		if types[name] == nil {
			t.Errorf("%s: no type is given for %q", file, name)
		}
	}
	for name, value := range types {
		data, ok := fixtures[name]
		if !ok {
			t.Errorf("%s: no bytes for %q", file, name)
			continue
		}
		t.Run(name, func(t *testing.T) { checkOne(t, value, data) })
	}
}

func checkOne(t *testing.T, value any, data []byte) {
	t.Helper()
	decoded := reflect.New(reflect.TypeOf(value)).Interface()
	if err := msgpack.Unmarshal(data, decoded); err != nil {
		t.Fatalf("decoding into %T: %v", value, err)
	}
	got, err := msgpack.Marshal(decoded)
	if err != nil {
		t.Fatalf("encoding %T: %v", value, err)
	}
	if !bytes.Equal(got, data) {
		t.Errorf("%T: got bytes %x, want %x", value, got, data)
	}
}

// read returns the bytes of each line, by name.
func read(t *testing.T, file string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	fixtures := make(map[string][]byte)
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, len(text)+1)
	for lines.Scan() {
		name, digits, _ := strings.Cut(lines.Text(), " ")
		data, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatalf("%s: line of %q: %v", file, name, err)
		}
		fixtures[name] = data
	}
	return fixtures
}
