package catalog

// Operators keep their objects in TOML files, one or many in each, under version
// control. Reading them must report every mistake at once, each with its file
// and line, which a plain decoder cannot do: it stops at the first one, and knows
// no lines once it has decoded.
//
// So a file is walked expression by expression with the parser of go-toml, and
// each "key = value" is decoded on its own into the object it belongs to. After a
// syntax error the walk goes on at the next object header. The positions of all
// objects and fields are kept, so that the checks over the whole set, which run
// afterwards, can point at lines as well.

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

const fileSuffix = ".toml"

// EmptyError says that a folder holds no object file.
type EmptyError struct{ Dir string }

// Error implements error.
func (e *EmptyError) Error() string {
	return fmt.Sprintf("folder %q holds no object file (*%s)", e.Dir, fileSuffix)
}

// Load reads and checks all TOML files below dir, except those whose name, or
// whose folder's name, begins with a dot. It also takes a single file. The error is a *ProblemsError when the
// objects themselves are at fault.
func Load(dir string) (*Set, error) {
	files := make(map[string][]byte)
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		return readObjectFile(dir, path, d, files)
	})
	if err != nil {
		return nil, fmt.Errorf("objects in folder %q: %w", dir, err)
	}
	if len(files) == 0 {
		return nil, &EmptyError{dir}
	}
	return Parse(files)
}

func readObjectFile(dir, path string, d fs.DirEntry, files map[string][]byte) error {
	hidden := path != dir && strings.HasPrefix(d.Name(), ".")
	if d.IsDir() {
		if hidden {
			return fs.SkipDir
		}
		return nil
	}
	if hidden || filepath.Ext(path) != fileSuffix {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	name, err := filepath.Rel(dir, path)
	if name == "." {
		name = filepath.Base(path)
	}
	files[filepath.ToSlash(name)] = text
	return err
}

// Parse reads and checks the objects of files, whose keys are names to report.
func Parse(files map[string][]byte) (*Set, error) {
	var l loader
	for _, file := range slices.Sorted(maps.Keys(files)) {
		l.readFile(file, files[file])
	}
	problems := append(l.found(), check(l.entries)...)
	if len(problems) > 0 {
		sortProblems(problems)
		return nil, &ProblemsError{problems}
	}
	return New(collect(l.entries)), nil
}

func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}

// loader gathers the objects and the mistakes of all files.
type loader struct {
	entries  []*entry
	mistakes []mistake
}

// mistake is a problem found while reading. The name of its object may follow
// on a later line.
type mistake struct {
	entry   *entry // nil for a mistake outside any object
	problem Problem
}

// found returns the mistakes found while reading, their objects named.
func (l *loader) found() []Problem {
	var problems []Problem
	for _, m := range l.mistakes {
		if m.entry != nil {
			m.problem.Kind, m.problem.Name = m.entry.kind, m.entry.name()
		}
		problems = append(problems, m.problem)
	}
	return problems
}

// fileReader reads one file. It parses a part of the text at a time: all of it,
// or what follows a syntax error.
type fileReader struct {
	loader  *loader
	file    string
	rest    []byte // text from the start of the part
	line    int    // lines before the part
	parser  unstable.Parser
	current *entry // object that keys belong to, or nil
	skip    bool   // inside a table that was reported already
}

func (l *loader) readFile(file string, text []byte) {
	r := &fileReader{loader: l, file: file, rest: text}
	for r.readPart() {
	}
}

// readPart parses up to the end of the text or the first syntax error, and
// reports whether there is a part left to read.
func (r *fileReader) readPart() bool {
	r.parser.Reset(r.rest)
	for r.parser.NextExpression() {
		r.readExpression(r.parser.Expression())
	}
	err := r.parser.Error()
	if err == nil {
		return false
	}
	return r.skipError(err)
}

// skipError reports a syntax error and moves on to the next object header.
func (r *fileReader) skipError(err error) bool {
	offset := len(r.rest)
	message := err.Error()
	var parse *unstable.ParserError
	if errors.As(err, &parse) {
		offset = r.parser.Shape(r.parser.Range(parse.Highlight)).Start.Offset
		message = parse.Message
	}
	r.report(r.lineAt(offset), "", "is not TOML: "+strings.TrimPrefix(message, "toml: "))
	if r.current != nil {
		r.current.broken = true
	}
	next := bytes.Index(r.rest[offset:], []byte("\n[["))
	if next < 0 {
		return false
	}
	next += offset + 1
	r.line += bytes.Count(r.rest[:next], []byte("\n"))
	r.rest = r.rest[next:]
	return true
}

func (r *fileReader) lineAt(offset int) int {
	return r.line + 1 + bytes.Count(r.rest[:offset], []byte("\n"))
}

func (r *fileReader) report(line int, field, issue string) {
	p := Problem{File: r.file, Line: line, Field: field, Issue: issue}
	r.loader.mistakes = append(r.loader.mistakes, mistake{r.current, p})
}

func (r *fileReader) readExpression(n *unstable.Node) {
	key := dottedKey(n)
	line := r.lineAt(int(n.Child().Raw.Offset))
	switch n.Kind {
	case unstable.ArrayTable:
		r.begin(key, line)
	case unstable.Table:
		r.current = nil
		r.skip = true
		r.report(line, "", fmt.Sprintf("table [%s] is no object; objects begin with [[model]] or the like", key))
	case unstable.KeyValue:
		line = r.lineAt(int(n.Value().Next().Raw.Offset))
		r.readField(key, line, r.parser.Raw(n.Raw))
	}
}

func dottedKey(n *unstable.Node) string {
	var parts []string
	for it := n.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

func (r *fileReader) begin(key string, line int) {
	r.current = nil
	r.skip = false
	e, ok := newEntry(Kind(key))
	if !ok {
		r.skip = true
		r.report(line, "", fmt.Sprintf("kind [[%s]] is unknown", key))
		return
	}
	e.file, e.line = r.file, line
	r.current = e
	r.loader.entries = append(r.loader.entries, e)
}

func (r *fileReader) readField(key string, line int, text []byte) {
	if r.skip {
		return
	}
	if r.current == nil {
		r.report(line, key, "belongs to no object; objects begin with [[model]] or the like")
		return
	}
	if first, taken := r.current.lines[key]; taken {
		r.report(line, key, fmt.Sprintf("is set twice, first on line %d", first))
		return
	}
	r.current.lines[key] = line
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(r.current.object); err != nil {
		r.current.bad[key] = true
		r.report(line, key, r.current.fieldIssue(key, err))
	}
}
