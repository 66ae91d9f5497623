package wire

import "fmt"

// Mux hands each message to the function registered for its kind. Register all
// kinds before the first connection opens.
type Mux struct {
	handlers map[string]func(m *Message)
}

// On registers f for a kind. It panics if the kind has a function already.
func (x *Mux) On(kind string, f func(m *Message)) {
	if x.handlers == nil {
		x.handlers = make(map[string]func(m *Message))
	}
	if _, taken := x.handlers[kind]; taken {
		panic(fmt.Sprintf("message kind %q has two handlers", kind))
	}
	x.handlers[kind] = f
}

// Handle implements Handler. A call of an unknown kind is answered with the code
// unknown_kind.
func (x *Mux) Handle(m *Message) {
	f, ok := x.handlers[m.Kind]
	if !ok {
		m.Fail("unknown_kind", fmt.Errorf("message kind %q is unknown", m.Kind))
		return
	}
	f(m)
}

var _ Handler = (*Mux)(nil)
