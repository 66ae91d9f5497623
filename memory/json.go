package memory

// What a JSON document takes once it is decoded. An element of a list may be two bytes of text ("0,") or three ("{},") and hundreds as a Go value, and the slice that
// it is appended to is copied as it grows, so that a document of legal size may take many times its own. All else takes about as much as its text.

const (
	elementBytes = 1 << 10 // of an element of a list, with the value that it is translated to
	maxJSONDepth = 10_000  // beyond which encoding/json decodes nothing
)

// DecodedBytes returns about how much memory a JSON document takes with its decoded values, in bytes, and rather too much than too little. It neither checks the document nor
// keeps anything of it.
func DecodedBytes(document []byte) int64 {
	var inList []bool // for each level, whether it is a list and not an object
	elements := 0
	quoted := false
	for i := 0; i < len(document) && len(inList) <= maxJSONDepth; i++ {
		switch c := document[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[':
			inList = append(inList, true)
			elements++
		case c == '{':
			inList = append(inList, false)
		case (c == ']' || c == '}') && len(inList) > 0:
			inList = inList[:len(inList)-1]
		case c == ',' && len(inList) > 0 && inList[len(inList)-1]:
			elements++
		}
	}
	return 2*int64(len(document)) + int64(elements)*elementBytes
}
