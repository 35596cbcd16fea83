package router

// Reason is the code that explains a decision. The codes are part of the external interface and do not change.
type Reason string

// The reason codes; Reasons describes each of them.
const (
	WritePrimary      Reason = "writePrimary"
	ReplicaDataCentre Reason = "replicaDataCentre"
	ReplicaRegion     Reason = "replicaRegion"
	ReplicaRemote     Reason = "replicaRemote"
	PrimaryOnly       Reason = "primaryOnly"
	PrimaryAfterWait  Reason = "primaryAfterWait"
	WaitReplica       Reason = "waitReplica"
	WaitRound         Reason = "waitRound"
	WaitPrimary       Reason = "waitPrimary"
	NoPrimary         Reason = "noPrimary"
	TooStale          Reason = "tooStale"
	NoInstance        Reason = "noInstance"
)

// ReasonInfo describes one reason code.
type ReasonInfo struct {
	Reason      Reason
	Description string
}

// reasonTable describes each reason code once. The reference page of the codes is generated from it.
var reasonTable = []ReasonInfo{
	{WritePrimary, "a write goes to the primary"},
	{ReplicaDataCentre, "a replica in the same data centre qualifies"},
	{ReplicaRegion, "a replica in the same region qualifies, but none in the same data centre"},
	{ReplicaRemote, "a replica in another region qualifies, but none in the same region"},
	{PrimaryOnly, "the primary serves the read, because no replica qualifies or is expected to soon"},
	{PrimaryAfterWait, "the primary serves the read, because no replica qualified within the wait"},
	{WaitReplica, "the read waits, because a replica is expected to qualify soon"},
	{WaitRound, "the read waits, because the primary may serve it after the next confirmed round"},
	{WaitPrimary, "the request waits, because no primary is confirmed but one may be soon"},
	{NoPrimary, "no confirmed round shows a primary"},
	{TooStale, "no instance is known to meet the bound on staleness"},
	{NoInstance, "no instance may serve the read"},
}

// Reasons returns the descriptions of all reason codes as a new slice.
func Reasons() []ReasonInfo { return append([]ReasonInfo(nil), reasonTable...) }
