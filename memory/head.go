package memory

// fieldBytes is what a field of a head takes beside its text, with a copy of the head.
const fieldBytes = 256

// HeadBytes returns about how much memory the head of a request takes with its copies, in bytes, and rather too much than too little.
func HeadBytes(head map[string][]string) int64 {
	n := 0
	for name, values := range head {
		for _, value := range values {
			n += fieldBytes + 2*(len(name)+len(value))
		}
	}
	return int64(n)
}
