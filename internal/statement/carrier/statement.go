package carrier

// Verb is the type of a statement.
type Verb uint8

// Statement types.
const (
	Unknown   Verb = iota
	Begin          // begins a read-write transaction
	BeginRead      // begins a read-only transaction
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate // deallocates a prepared statement
	Reset      // clears the session values and prepared statements of a connection
	Status     // Status, Hold and Demote are control commands to instances, never sent by clients
	Hold       // Args: the term below which a replica accepts no log entries
	Demote     // Args: the term below which a primary becomes a replica
	Sample     // asks a gateway for a position that the primary held; Args: the maximum age in milliseconds
)

var verbNames = [...]string{"unknown", "begin", "beginRead", "commit", "rollback", "read", "write", "set", "prepare", "execute", "forget", "reset", "status", "hold", "demote", "sample"}

// String returns the name of the statement type, as used in error texts.
func (v Verb) String() string {
	if int(v) < len(verbNames) {
		return verbNames[v]
	}
	return verbNames[Unknown]
}

// Statement is one statement of a client, or of the VM itself if ID is InternalID.
type Statement struct {
	ID           string
	Verb         Verb
	Name         string // of the session value in Set; of the prepared statement in Prepare, Execute and Deallocate
	PreparedVerb Verb   // type of the prepared statement in Prepare: Read or Write
	Args         string // rest of the statement text, which is passed on unparsed
}

// InternalID is the ID of statements that a VM issues itself.
const InternalID = "-"

// Internal returns a statement of type v that the VM issues itself.
func Internal(v Verb) Statement { return Statement{ID: InternalID, Verb: v} }

// WithName returns a copy of the statement with the given name.
func (s Statement) WithName(name string) Statement {
	s.Name = name
	return s
}

// IsControl reports whether the statement is a control command to an instance.
func (s Statement) IsControl() bool { return s.Verb == Status || s.Verb == Hold || s.Verb == Demote }
