package backend

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
)

// An offer arrives as it was sent, whatever field is set.
func TestOfferTravelsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.Make[bamboostep.Offer]().Draw(t, "offer")
		data, err := msgpack.Marshal(newOfferBody(&want))
		if err != nil {
			t.Fatal(err)
		}
		var body offerBody
		if err := msgpack.Unmarshal(data, &body); err != nil {
			t.Fatal(err)
		}
		if got := body.offer(); !reflect.DeepEqual(got, want) {
			t.Fatalf("offer = %+v, want %+v", got, want)
		}
	})
}
