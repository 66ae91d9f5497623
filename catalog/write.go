package catalog

import (
	"bytes"
	"io"
	"reflect"

	"github.com/pelletier/go-toml/v2"
)

// Write writes objects as TOML that Parse reads, leaving out empty fields.
func Write(w io.Writer, o Objects) error {
	for _, e := range entriesOf(o) {
		if err := writeEntry(w, e); err != nil {
			return err
		}
	}
	return nil
}

func writeEntry(w io.Writer, e *entry) error {
	var b bytes.Buffer
	b.WriteString("\n[[" + string(e.kind) + "]]\n")
	v := reflect.ValueOf(e.object).Elem()
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			continue
		}
		key := v.Type().Field(i).Tag.Get("toml")
		value, err := toml.Marshal(map[string]any{key: v.Field(i).Interface()})
		if err != nil {
			return err
		}
		b.Write(value)
	}
	_, err := w.Write(b.Bytes())
	return err
}
