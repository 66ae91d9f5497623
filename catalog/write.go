package catalog

import (
	"fmt"
	"io"
	"reflect"
	"strings"
	"unicode"

	"github.com/pelletier/go-toml/v2"
)

// Write writes objects as TOML that Parse reads, leaving out empty fields.
func Write(w io.Writer, o Objects) error {
	for i, e := range entriesOf(o) {
		if i > 0 {
			if _, err := io.WriteString(w, "\n"); err != nil {
				return err
			}
		}
		text, err := entryText(e)
		if err != nil {
			return err
		}
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

func entryText(e *entry) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "[[%s]]\n", e.kind)
	v := reflect.ValueOf(e.object).Elem()
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			continue
		}
		line, err := fieldLine(v.Type().Field(i).Tag.Get("toml"), v.Field(i))
		if err != nil {
			return "", err
		}
		b.WriteString(line)
	}
	return b.String(), nil
}

// fieldLine writes plain strings in double quotes, as operators do; the library
// prefers single ones.
func fieldLine(key string, v reflect.Value) (string, error) {
	if v.Kind() == reflect.String && isPlain(v.String()) {
		return fmt.Sprintf("%s = \"%s\"\n", key, v.String()), nil
	}
	if list, ok := v.Interface().([]string); ok && isPlain(strings.Join(list, "")) {
		return fmt.Sprintf("%s = [\"%s\"]\n", key, strings.Join(list, `", "`)), nil
	}
	line, err := toml.Marshal(map[string]any{key: v.Interface()})
	return string(line), err
}

func isPlain(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool {
		return r == '"' || r == '\\' || r == unicode.ReplacementChar || !unicode.IsPrint(r)
	})
}
