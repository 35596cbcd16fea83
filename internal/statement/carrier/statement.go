package carrier

// Verb is what a statement does.
type Verb uint8

// The verbs.
const (
	Unknown Verb = iota
	Begin        // opens a transaction that may write
	BeginRead
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Forget
	Reset
	Status // orders to instances, never from callers
	Hold   // Args: the term below which a replica receives nothing
	Demote // Args: the term below which a primary becomes a replica
)

var verbNames = [...]string{"unknown", "begin", "beginRead", "commit", "rollback", "read", "write", "set", "prepare", "execute", "forget", "reset", "status", "hold", "demote"}

// String returns the name of the verb for logs.
func (v Verb) String() string {
	if int(v) < len(verbNames) {
		return verbNames[v]
	}
	return verbNames[Unknown]
}

// Statement is one statement of a caller, or of the VM itself when ID is OwnID.
type Statement struct {
	ID       string
	Verb     Verb
	Name     string // Set: the value's name; Prepare, Execute, Forget: the prepared statement's name
	Prepares Verb   // Prepare: Read or Write
	Args     string // the rest of the text, which no stage looks into
}

// OwnID is the identity of statements that a VM issues itself.
const OwnID = "-"

// Own returns a statement that the VM issues itself.
func Own(v Verb) Statement { return Statement{ID: OwnID, Verb: v} }

// WithName returns the statement under another prepared name.
func (s Statement) WithName(name string) Statement {
	s.Name = name
	return s
}

// IsOrder reports whether the statement is an order to an instance.
func (s Statement) IsOrder() bool { return s.Verb == Status || s.Verb == Hold || s.Verb == Demote }
