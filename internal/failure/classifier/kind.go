package classifier

// Kind is the external name of a class of errors.
type Kind string

// Ran states whether a request that failed took effect.
type Ran string

// Retry states under which condition a client may repeat a request that failed.
type Retry string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// The values of Retry.
const (
	RetryNever   Retry = "never"   // the same request fails again
	RetrySafe    Retry = "safe"    // any request may be repeated
	RetryWithKey Retry = "withKey" // a request with an idempotency key may be repeated with the same key
)

// The error kinds.
const (
	BadMessage           Kind = "badMessage"
	MessageTooLarge      Kind = "messageTooLarge"
	AuthenticationFailed Kind = "authenticationFailed"
	TLSRequired          Kind = "tlsRequired"
	UnknownDatabase      Kind = "unknownDatabase"
	UnknownReadKind      Kind = "unknownReadKind"
	BadToken             Kind = "badToken"
	BadKey               Kind = "badKey"
	BadParameter         Kind = "badParameter"
	KeyReuse             Kind = "keyReuse"
	KeyExpired           Kind = "keyExpired"
	AlreadyDone          Kind = "alreadyDone"
	StaleBound           Kind = "staleBound"
	NotReady             Kind = "notReady"
	ShuttingDown         Kind = "shuttingDown"
	Overloaded           Kind = "overloaded"
	NoPrimary            Kind = "noPrimary"
	NoInstance           Kind = "noInstance"
	NotRun               Kind = "notRun"
	OutcomeUnknown       Kind = "outcomeUnknown"
	PrimaryReplaced      Kind = "primaryReplaced"
	AnswerIncomplete     Kind = "answerIncomplete"
	AnswerTooLarge       Kind = "answerTooLarge"
	Timeout              Kind = "timeout"
	Canceled             Kind = "canceled"
	Unsupported          Kind = "unsupported"
	Conflict             Kind = "conflict"
	Invalid              Kind = "invalid"
	PlatformUnavailable  Kind = "platformUnavailable"
	ReplicaBehind        Kind = "replicaBehind"
	NotPrimary           Kind = "notPrimary"
	WrongInstance        Kind = "wrongInstance"
	TooManyConnections   Kind = "tooManyConnections"
	StatementFailed      Kind = "statementFailed"
	StatementTimeout     Kind = "statementTimeout"
	UnknownStatement     Kind = "unknownStatement"
	Internal             Kind = "internal"
)

// Answer describes the answer that a client gets for an error kind.
type Answer struct {
	Kind     Kind
	SQLSTATE string
	Ran      Ran
	Retry    Retry
	Title    string // what went wrong
	Action   string // what the client can do
}

// answers holds one answer for each kind, the answer for Internal last. The
// reference page of the kinds is generated from it. SQLSTATEs of class PS are
// defined by parsleyscale, the others by PostgreSQL.
var answers = []Answer{
	{BadMessage, "08P01", RanNo, RetryNever, "malformed protocol message", "fix the client"},
	{MessageTooLarge, "54000", RanNo, RetryNever, "message exceeds the size limit", "send smaller messages"},
	{AuthenticationFailed, "28P01", RanNo, RetryNever, "wrong user or password", "check the credentials"},
	{TLSRequired, "28000", RanNo, RetryNever, "connection without TLS", "connect with sslmode=require or stricter"},
	{UnknownDatabase, "3D000", RanNo, RetryNever, "the sheet does not contain the database", "check the name with parsleyctl sheet show"},
	{UnknownReadKind, "22023", RanNo, RetryNever, "the sheet does not contain the read kind", "check the read kinds of the service"},
	{BadToken, "22023", RanNo, RetryNever, "session token cannot be verified", "open a new session without a token"},
	{BadKey, "22023", RanNo, RetryNever, "request key is not a UUID version 7", "generate keys as UUID version 7"},
	{BadParameter, "22023", RanNo, RetryNever, "unknown or invalid parsleyscale parameter", "see the list of parameters"},
	{KeyReuse, "PS001", RanNo, RetryNever, "request key was used for another request", "use a new key for a new request"},
	{KeyExpired, "PS002", RanUnknown, RetryNever, "request key is older than the retention period", "look up the outcome before sending the request again"},
	{AlreadyDone, "PS003", RanYes, RetryNever, "transaction with this key is already committed", "read the outcome"},
	{StaleBound, "PS004", RanNo, RetrySafe, "no instance is known to meet the bound on staleness", "repeat later, or accept older data"},
	{NotReady, "57P03", RanNo, RetrySafe, "the VM has no sheet yet", "connect to another VM"},
	{ShuttingDown, "57P01", RanNo, RetrySafe, "the VM is stopping", "reconnect"},
	{Overloaded, "53000", RanNo, RetrySafe, "a limit of clients, connections or queued requests is reached, or the expected wait is too long", "repeat later; if the message gives a time, wait for it"},
	{NoPrimary, "57P03", RanNo, RetrySafe, "no primary was known before the deadline", "repeat later"},
	{NoInstance, "57P03", RanNo, RetrySafe, "no reachable instance can serve the read", "repeat later"},
	{NotRun, "40001", RanNo, RetrySafe, "the request did not run", "repeat"},
	{OutcomeUnknown, "08007", RanUnknown, RetryWithKey, "the request may or may not have run", "repeat with the same key, or look up the outcome"},
	{PrimaryReplaced, "08007", RanUnknown, RetryWithKey, "the primary was replaced before the write was confirmed", "repeat with the same key, or look up the outcome"},
	{AnswerIncomplete, "08006", RanUnknown, RetryWithKey, "the response ended before it was complete", "repeat a read, or repeat a write with the same key"},
	{AnswerTooLarge, "54000", RanNo, RetryNever, "response to a request with a key exceeds 64 KB", "return fewer rows"},
	{Timeout, "57014", RanNo, RetrySafe, "deadline passed before the request ran", "repeat later"},
	{Canceled, "57014", RanNo, RetrySafe, "canceled by the caller", "none"},
	{Unsupported, "0A000", RanNo, RetryNever, "protocol feature is not supported", "avoid the feature"},
	{Conflict, "40001", RanNo, RetryNever, "another change of the sheet was accepted first", "check the difference and apply the change again"},
	{Invalid, "22023", RanNo, RetryNever, "the settings or the sheet are invalid", "correct the field named in the message"},
	{PlatformUnavailable, "58000", RanUnknown, RetrySafe, "the platform's store cannot be reached", "repeat later; repeat a change of the sheet with the same change identity"},
	{ReplicaBehind, "PS005", RanNo, RetrySafe, "the instance has not yet applied the log position that the read requires", "repeat later"},
	{NotPrimary, "25006", RanNo, RetrySafe, "the instance is not the primary", "repeat later"},
	{WrongInstance, "08001", RanNo, RetrySafe, "another instance answered at the address", "repeat later"},
	{TooManyConnections, "53300", RanNo, RetrySafe, "the instance accepts no more connections", "repeat later"},
	{StatementFailed, "58030", RanUnknown, RetryNever, "the instance executed the statement and reported an error", "repeat a read; look up the outcome of a write before sending it again"},
	{StatementTimeout, "57014", RanUnknown, RetryNever, "the statement exceeded its time limit on the instance", "repeat a read; look up the outcome of a write before sending it again"},
	{UnknownStatement, "26000", RanNo, RetryNever, "prepared statement is unknown", "prepare it first"},
	{Internal, "XX000", RanUnknown, RetryWithKey, "internal error of parsleyscale", "report it"},
}

// Answers returns the answers of all kinds as a new slice, in the order of the constants.
func Answers() []Answer { return append([]Answer(nil), answers...) }

// AnswerFor returns the answer for a kind, or the answer for Internal if the kind is unknown.
func AnswerFor(k Kind) Answer {
	for _, a := range answers {
		if a.Kind == k {
			return a
		}
	}
	return answers[len(answers)-1]
}
