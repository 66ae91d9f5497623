package sumfile_test

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/bamboostep/bamboostep/internal/sumfile"
)

func TestFileIsReadBack(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f")
	if _, err := sumfile.Read(file); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("before it was written: got error %v, want %v", err, fs.ErrNotExist)
	}
	for _, want := range []string{"first", "", "the second, longer one"} {
		if err := sumfile.Write(file, []byte(want)); err != nil {
			t.Fatal(err)
		}
		if got, err := sumfile.Read(file); err != nil || string(got) != want {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	}
}

func TestDamageIsNoticed(t *testing.T) {
	for name, damage := range map[string]func([]byte) []byte{
		"emptied":      func([]byte) []byte { return nil },
		"cut short":    func(b []byte) []byte { return b[:len(b)-1] },
		"flipped":      func(b []byte) []byte { b[2] ^= 1; return b },
		"wrong sum":    func(b []byte) []byte { b[len(b)-1] ^= 1; return b },
		"bytes behind": func(b []byte) []byte { return append(b, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "f")
			if err := sumfile.Write(file, []byte("content")); err != nil {
				t.Fatal(err)
			}
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(file, damage(data), 0o600); err != nil {
				t.Fatal(err)
			}
			var bad *sumfile.DamagedError
			if got, err := sumfile.Read(file); !errors.As(err, &bad) {
				t.Errorf("got %q, %v, want a *DamagedError", got, err)
			}
		})
	}
}
