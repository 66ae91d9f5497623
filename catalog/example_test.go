package catalog_test

import (
	"fmt"

	"github.com/bamboostep/bamboostep/catalog"
)

const exampleObjects = `
[[place]]
name = "taller"
kind = "engine"
workers = 3
memory_mib = 16000

[[version]]
name = "consulta-v1"
weights_mib = 4000

[[model]]
name = "consulta"
version = "consulta-v1"
place = "taller"
min_copies = 2
class = "question"
`

// Every mistake is reported at once, with its file and line.
func ExampleParse() {
	_, err := catalog.Parse(map[string][]byte{
		"models.toml": []byte("[[model]]\nname = \"m\"\nplace = \"taller\"\nmin_copies = 0\nclass = \"quote\"\n"),
		"places.toml": []byte("[[place]]\nname = \"taller\"\nkind = \"engine\"\nworkers = 3\nmemory = 16000\n"),
	})
	fmt.Println(err)
	// Output:
	// models.toml:1: model "m": field "version" names version "", which does not exist
	// models.toml:4: model "m": field "min_copies" must be at least 1, is 0
	// places.toml:1: place "taller": field "memory_mib" must be above 0, is 0
	// places.toml:5: place "taller": field "memory" is unknown
}

// Diff says what publishing a set would change.
func ExampleDiff() {
	old, err := catalog.Parse(map[string][]byte{"objects.toml": []byte(exampleObjects)})
	if err != nil {
		fmt.Println(err)
		return
	}
	o := old.Objects()
	model, _ := old.Model("consulta")
	o.Models = append(o.Models[:0:0], model.WithMinCopies(3))
	for _, change := range catalog.Diff(old, catalog.New(o)) {
		fmt.Println(change)
	}
	// Output:
	// model "consulta" changed: min_copies 2 -> 3
}

// A delta carries only what changed, and applies to no other revision.
func ExampleSet_Apply() {
	old, err := catalog.Parse(map[string][]byte{"objects.toml": []byte(exampleObjects)})
	if err != nil {
		fmt.Println(err)
		return
	}
	old = old.WithRevision(7)
	o := old.Objects()
	model, _ := old.Model("consulta")
	o.Models = append(o.Models[:0:0], model.WithMinCopies(3))
	delta, err := catalog.NewDelta(old, catalog.New(o).WithRevision(8))
	if err != nil {
		fmt.Println(err)
		return
	}
	next, err := old.Apply(delta)
	fmt.Println(next.Revision(), err)
	_, err = next.Apply(delta)
	fmt.Println(err)
	// Output:
	// 8 <nil>
	// delta from revision 7 to 8 does not apply to revision 8: it begins elsewhere
}
