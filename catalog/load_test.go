package catalog_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/bamboostep/bamboostep/catalog"
)

const goodObjects = `
[[place]]
name = "p"
kind = "engine"
workers = 2
memory_mib = 100

[[place]]
name = "app"
kind = "application"
workers = 1

[[version]]
name = "v"
weights_mib = 40

[[model]]
name = "m"
version = "v"
place = "p"
cache_mib = 10
min_copies = 2
class = "quote"

[[adapter]]
name = "a"
model = "m"
version = "a1"
weights_mib = 5

[[service]]
name = "s"
place = "app"
path_prefix = "/orders"
class = "write"
name_field = "order_id"
`

// Each table entry is the good objects with one mistake added; what is wanted is
// the whole report.
func TestParseReportsMistakes(t *testing.T) {
	tests := map[string]struct {
		old, new string // replacement in goodObjects
		want     string
	}{
		"none": {"", "", ""},
		"unknown field": {"cache_mib = 10", "cash_mib = 10",
			`f.toml:21: model "m": field "cash_mib" is unknown`},
		"unknown kind": {"[[adapter]]", "[[adaptor]]",
			`f.toml:25: kind [[adaptor]] is unknown`},
		"plain table": {"[[adapter]]", "[adapter]",
			`f.toml:25: table [adapter] is no object; objects begin with [[model]] or the like`},
		"wrong type": {"workers = 2", `workers = "2"`,
			`f.toml:5: place "p": field "workers" must be a whole number`},
		"field set twice": {"cache_mib = 10", "cache_mib = 10\ncache_mib = 11",
			`f.toml:22: model "m": field "cache_mib" is set twice, first on line 21`},
		"field of no object": {"\n[[place]]\nname = \"p\"", "x = 1\n[[place]]\nname = \"p\"",
			`f.toml:1: field "x" belongs to no object; objects begin with [[model]] or the like`},
		"syntax error, and one after it": {"cache_mib = 10\nmin_copies = 2\nclass = \"quote\"", "cache_mib = = 10\nmin_copies = 2\nclass = \"quote\"\n[[version]]\nname = \"w\"\nweights_mib = 0",
			`f.toml:21: model "m": is not TOML: unexpected character U+003D '=' at start of value` + "\n" +
				`f.toml:26: version "w": field "weights_mib" must be above 0, is 0`},
		"no version": {`version = "v"`, `version = "w"`,
			`f.toml:19: model "m": field "version" names version "w", which does not exist`},
		"no place": {`place = "p"`, `place = "q"`,
			`f.toml:20: model "m": field "place" names place "q", which does not exist`},
		"place of the wrong kind": {`place = "app"`, `place = "p"`,
			`f.toml:33: service "s": field "place" names place "p", which is of kind "engine", want "application"`},
		"no backend server": {"workers = 1", "workers = 0",
			`f.toml:33: service "s": field "place" names place "app", which has no backend server (workers is 0)`},
		"adapter of nothing": {`model = "m"`, `model = "n"`,
			`f.toml:27: adapter "a": field "model" names model "n", which does not exist`},
		"adapter of itself": {`model = "m"`, `model = "a"`,
			`f.toml:27: adapter "a": field "model" is in a cycle: a -> a`},
		"cycle of adapters": {`model = "m"`, "model = \"b\"\nversion = \"a1\"\nweights_mib = 5\n[[adapter]]\nname = \"b\"\nmodel = \"a\"",
			`f.toml:27: adapter "a": field "model" is in a cycle: a -> b -> a` + "\n" +
				`f.toml:32: adapter "b": field "model" is in a cycle: b -> a -> b`},
		"adapter of an adapter": {"[[service]]", "[[adapter]]\nname = \"b\"\nmodel = \"a\"\nversion = \"b1\"\nweights_mib = 5\n[[service]]",
			`f.toml:33: adapter "b": field "model" names "a", which is an adapter and not a model`},
		"duplicate name": {`name = "a"`, `name = "m"`,
			`f.toml:26: adapter "m": field "name" is taken by the model at f.toml:17`},
		"no name": {`name = "a"`, ``,
			`f.toml:25: adapter "": field "name" is missing`},
		"name with a space": {`name = "a"`, `name = "a b"`,
			`f.toml:26: adapter "a b": field "name" must hold no space, quotation mark, equals sign or control character`},
		"name too long": {`name = "a"`, `name = "` + strings.Repeat("a", 129) + `"`,
			`f.toml:26: adapter "` + strings.Repeat("a", 129) + `": field "name" is 129 bytes long, at most 128`},
		"no copies": {"min_copies = 2", "min_copies = 0",
			`f.toml:22: model "m": field "min_copies" must be at least 1, is 0`},
		"more copies than workers": {"min_copies = 2", "min_copies = 3",
			`f.toml:22: model "m": field "min_copies" is 3, but place "p" has 2 workers`},
		"negative size": {"cache_mib = 10", "cache_mib = -1",
			`f.toml:21: model "m": field "cache_mib" must not be negative, is -1`},
		"size beyond any machine": {"cache_mib = 10", "cache_mib = 9223372036854775807",
			`f.toml:21: model "m": field "cache_mib" must be at most 1073741824, is 9223372036854775807`},
		"clash with an entry's path": {`"/orders"`, `"/v1/orders"`,
			`f.toml:34: service "s": field "path_prefix" "/v1/orders" clashes with "/v1/", which every entry serves itself`},
		"path with dots": {`"/orders"`, `"/orders/../v1"`,
			`f.toml:34: service "s": field "path_prefix" must hold no empty, . or .. element, is "/orders/../v1"`},
		"clash of services": {"name_field = \"order_id\"", "idempotent = true\n[[service]]\nname = \"t\"\nplace = \"app\"\npath_prefix = \"/orders/\"\nclass = \"quote\"\nidempotent = true",
			`f.toml:40: service "t": field "path_prefix" "/orders/" clashes with service "s"`},
		"unnamed write": {"name_field = \"order_id\"", "",
			`f.toml:31: service "s": field "idempotent" is false, so name_header, name_field or name_window_s must say how a request is named`},
		"no memory": {"memory_mib = 100", "memory_mib = 49",
			`f.toml:6: place "p": field "memory_mib" is too small: 2 copies of model "m" with 50 MiB each do not fit place "p", which has 2 workers of 49 MiB`},
		"adapter that no VM has room for": {"weights_mib = 5", "weights_mib = 51",
			`f.toml:29: adapter "a": field "weights_mib" is 51, but model "m" leaves only 50 MiB on a VM of place "p"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(goodObjects, test.old, test.new, 1)
			_, err := catalog.Parse(map[string][]byte{"f.toml": []byte(text)})
			got := ""
			if err != nil {
				got = err.Error()
			}
			if got != test.want {
				t.Errorf("got\n%s\nwant\n%s", got, test.want)
			}
		})
	}
}

func TestLoadOfExamples(t *testing.T) {
	tests := map[string]struct{ models, adapters, services int }{
		"demo":      {2, 4, 2},
		"canaletas": {13, 55, 3},
		"campanas":  {26, 95, 3},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := catalog.Load("../examples/" + name)
			if err != nil {
				t.Fatal(err)
			}
			o := s.Objects()
			if len(o.Models) != want.models || len(o.Adapters) != want.adapters || len(o.Services) != want.services {
				t.Errorf("got %d models, %d adapters, %d services, want %v", len(o.Models), len(o.Adapters), len(o.Services), want)
			}
		})
	}
}

func TestEncodingsOfASet(t *testing.T) {
	s, err := catalog.Load("../examples/demo")
	if err != nil {
		t.Fatal(err)
	}
	checkEncoding(t, s)
}

// Whatever the text, reading it ends, with a set or with problems that name
// lines of the file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodObjects))
	for _, file := range []string{"models", "places", "services"} {
		text, err := os.ReadFile("../examples/demo/" + file + ".toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte("[[model]]\nname = \"x\"\nname.y = 1\n[[model]]\n= \n[[place]]\nfailure_domains = [1, {a=2}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := catalog.Parse(map[string][]byte{"f.toml": text})
		if err == nil {
			checkEncoding(t, s)
			return
		}
		var problems *catalog.ProblemsError
		if !errors.As(err, &problems) {
			t.Fatalf("got error %v, want *ProblemsError", err)
		}
		lines := strings.Count(string(text), "\n") + 1
		for _, p := range problems.Problems {
			if p.File != "f.toml" || p.Line < 1 || p.Line > lines {
				t.Errorf("problem %q is not in the %d lines of the file", p, lines)
			}
		}
	})
}

// checkEncoding checks that a set survives both of its encodings.
func checkEncoding(t *testing.T, s *catalog.Set) {
	t.Helper()
	var b strings.Builder
	if err := catalog.Write(&b, s.Objects()); err != nil {
		t.Fatal(err)
	}
	if len(s.Objects().Places) > 0 {
		read, err := catalog.Parse(map[string][]byte{"f.toml": []byte(b.String())})
		if err != nil || len(catalog.Diff(s, read)) > 0 {
			t.Errorf("written as TOML it is read back as %v (%v)\n%s", read, err, b.String())
		}
	}
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := catalog.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if changes := catalog.Diff(s, got); len(changes) > 0 {
		t.Errorf("got changes %v after a round trip, want none", changes)
	}
	gotSum, _ := got.Sum()
	if wantSum, _ := s.Sum(); gotSum != wantSum {
		t.Errorf("got checksum %x after a round trip, want %x", gotSum, wantSum)
	}
}
