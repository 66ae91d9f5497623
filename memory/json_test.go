package memory

import (
	"encoding/json"
	"strings"
	"testing"
	"unsafe"
)

func TestDecodedBytes(t *testing.T) {
	for name, c := range map[string]struct {
		document string
		elements int64
	}{
		"empty":                   {``, 0},
		"object":                  {`{"a":1,"b":{"c":2,"d":3}}`, 0},
		"list":                    {`[0,0,0]`, 3},
		"list of objects":         {`{"a":[{"b":1,"c":2},{}]}`, 2},
		"lists in lists":          {`[[1,2],[3]]`, 5},
		"commas in texts":         {`["a,b,c","\",[",0]`, 3},
		"a backslash in a text":   {`["\\",0]`, 2},
		"brackets in a text":      {`{"a":"[[[,,,"}`, 0},
		"ends that close nothing": {`]]}}[0,0`, 2},
		"deeper than is decoded":  {strings.Repeat("[", 1<<20), maxJSONDepth + 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got, want := DecodedBytes([]byte(c.document)), 2*int64(len(c.document))+c.elements*elementBytes; got != want {
				t.Errorf("got %d, want %d", got, want)
			}
		})
	}
}

// Guards against an estimate below what a decoder allocates for the shortest elements of a list.
func TestDecodedBytesIsEnough(t *testing.T) {
	type value [32]uint64 // larger than any that operators publish
	for name, element := range map[string]string{"numbers": "0", "nulls": "null", "objects": "{}"} {
		t.Run(name, func(t *testing.T) {
			document := []byte("[" + element + strings.Repeat(","+element, 50_000) + "]")
			var values []value
			_ = json.Unmarshal(document, &values) // a type that does not fit is told only after all have been decoded
			if got, most := int64(cap(values))*int64(unsafe.Sizeof(value{})), DecodedBytes(document); got > most || len(values) == 0 {
				t.Errorf("%d values: got %d bytes, want at most %d", len(values), got, most)
			}
		})
	}
}
