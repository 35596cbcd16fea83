// Package logger writes one key=value line for each event.
//
// Event names and keys are part of the external interface, because operators' alarms match them. Names and keys may be
// added but not renamed.
package logger

// Event is the name of an event.
type Event string

// The events; Table describes each of them.
const (
	VMStarted        Event = "vmStarted"
	VMReady          Event = "vmReady"
	VMStopping       Event = "vmStopping"
	VMStopped        Event = "vmStopped"
	SheetInForce     Event = "sheetInForce"
	StoreRestored    Event = "storeRestored"
	EntriesOutdated  Event = "entriesOutdated"
	SheetFault       Event = "sheetFault"
	MemberChanged    Event = "memberChanged"
	GatewayStarted   Event = "gatewayStarted"
	GatewayStopped   Event = "gatewayStopped"
	PromoterDecision Event = "promoterDecision"
	GroupFenced      Event = "groupFenced"
	PrimaryPromoted  Event = "primaryPromoted"
	PrimaryReplaced  Event = "primaryReplaced"
	PromotionFailed  Event = "promotionFailed"
	WritesHeld       Event = "writesHeld"
	InstanceFollows  Event = "instanceFollows"
	PullFailed       Event = "pullFailed"
	HoldFailed       Event = "holdFailed"
	ApplyFailed      Event = "applyFailed"
	TailDropped      Event = "tailDropped"
	CallerRefused    Event = "callerRefused"
	UnitFailed       Event = "unitFailed"
	ForwardFailed    Event = "forwardFailed"

	SettingsInForce   Event = "settingsInForce"
	SettingsFault     Event = "settingsFault"
	EntryFault        Event = "entryFault"
	DialFailed        Event = "dialFailed"
	StoreFault        Event = "storeFault"
	StoreBack         Event = "storeBack"
	ChangeFromPeer    Event = "changeFromPeer"
	StatementServed   Event = "statementServed"
	SessionEnded      Event = "sessionEnded"
	SessionPanicked   Event = "sessionPanicked"
	ExplainPanicked   Event = "explainPanicked"
	StatementRepeated Event = "statementRepeated"
	StatementRefused  Event = "statementRefused"
	OutcomeUnknown    Event = "outcomeUnknown"
	ReplacementBegun  Event = "replacementBegun"
	ReplicaHeld       Event = "replicaHeld"
	PrimaryDemoted    Event = "primaryDemoted"
	PromoteOrdered    Event = "promoteOrdered"
	NotInEffect       Event = "commandNotInEffect"
	TermSealed        Event = "termSealed"
	RegistryGap       Event = "registryGap"
	RosterWritten     Event = "rosterWritten"
	RosterApplied     Event = "rosterApplied"
	PrimaryKnown      Event = "primaryKnown"

	PrimaryLacksEntries Event = "primaryLacksEntries"
	PrimaryUnknown      Event = "primaryUnknown"
	ShardHeld           Event = "shardHeld"
	ShardReleased       Event = "shardReleased"
	TeamOverLimit       Event = "teamOverLimit"
	TeamWaits           Event = "teamWaits"
	RampBegun           Event = "rampBegun"
	InstanceAvoided     Event = "instanceAvoided"
	TeamRefused         Event = "teamRefused"
	TeamsInForce        Event = "teamsInForce"
	ClientClosed        Event = "clientClosed"
	ClientRefused       Event = "clientRefused"
)

// EventDescription describes one event.
type EventDescription struct {
	Event Event
	Title string
}

// eventTable describes each event once. The reference page of the events is generated from it.
var eventTable = []EventDescription{
	{VMStarted, "the process has started and listens on its addresses"},
	{VMReady, "the VM has its first sheet and accepts clients"},
	{VMStopping, "a planned stop has begun"},
	{VMStopped, "the process is about to exit"},
	{SheetInForce, "a new version of the sheet is in force on this VM"},
	{StoreRestored, "the store names a new era: it was restored from an older copy"},
	{EntriesOutdated, "the number of registry entries that a restored store shows as they were before, which are not used, has changed"},
	{SheetFault, "requests for the sheet to the store or to other VMs have begun to fail"},
	{MemberChanged, "this VM's view of the state of another VM changed"},
	{GatewayStarted, "this VM became a gateway of a database"},
	{GatewayStopped, "this VM is no longer a gateway of a database"},
	{PromoterDecision, "the reason for the promoter's decision changed"},
	{GroupFenced, "a majority of the instances of a group is fenced and rejects writes of the old term"},
	{PrimaryPromoted, "a replica was promoted to primary"},
	{PrimaryReplaced, "the change of primary is complete: an entry of the new primary is confirmed"},
	{PromotionFailed, "an attempt to replace a primary failed and will be repeated"},
	{WritesHeld, "new writes are held back for a planned switchover"},
	{InstanceFollows, "an instance was instructed to replicate from the current primary"},
	{PullFailed, "an emulated instance could not read from its upstream"},
	{HoldFailed, "an emulated instance could not write replicated entries to its log"},
	{ApplyFailed, "an emulated instance could not apply an entry"},
	{TailDropped, "an emulated instance removed log entries that its upstream does not have"},
	{CallerRefused, "a client's connection was rejected during startup"},
	{UnitFailed, "a unit of work failed with an error of the proxy"},
	{ForwardFailed, "a gateway VM could not be reached, or its connection was lost during a unit of work"},
	{SettingsInForce, "changed settings were reloaded and are in force"},
	{SettingsFault, "changed settings are invalid; the previous ones stay in force"},
	{EntryFault, "a registry entry does not describe a usable instance"},
	{DialFailed, "a connection to an instance could not be opened"},
	{StoreFault, "requests to the platform's store for a table have begun to fail"},
	{StoreBack, "requests to the platform's store for a table succeed again"},
	{ChangeFromPeer, "a change of a table arrived from another VM before it arrived from the store"},
	{StatementServed, "an instance executed a statement; sampled"},
	{SessionEnded, "a session ended, with the reason; sampled"},
	{SessionPanicked, "a fault in this program ended the session or the connection of another VM that triggered it; the error has the stack"},
	{ExplainPanicked, "a fault in this program ended the explanation of a request for an operator; no request is affected; the error has the stack"},
	{StatementRepeated, "an instance rejected or did not answer a statement, which may be executed on another instance"},
	{StatementRefused, "a statement was rejected"},
	{OutcomeUnknown, "a write or a commit was sent to an instance but not answered"},
	{ReplacementBegun, "this VM has begun to replace a primary"},
	{ReplicaHeld, "a replica was instructed to accept no more entries of the old term, or the old primary to become a replica"},
	{PrimaryDemoted, "a working primary was instructed to become a replica"},
	{PromoteOrdered, "the platform was instructed to make an instance the primary of the next term"},
	{RegistryGap, "an instance of the group, or of any group if none is named, may have joined and left without this VM seeing it: the history of the registry was too short, or the feed brought both at once"},
	{TermSealed, "the other VMs were asked to pass on no more acknowledgements of a term that a promotion is to end; the line names those that did not answer, and shows what the others report"},
	{NotInEffect, "an instance answered a hold or a demotion, but its state shows that the term goes on there"},
	{RosterWritten, "this VM has tried to write which instances of a group may hold commits that no other one holds, for VMs that start"},
	{RosterApplied, "a replacement read the roster of a group: it shows that no replica left before this VM started, or the error tells why it does not"},
	{PrimaryKnown, "an instance has become known to this VM as the primary of a term by its own answer"},
	{PrimaryLacksEntries, "the log of a new primary ends before the position of its predecessor at an acknowledgement that this VM passed on, so that commits may be lost; the line tells how long ago that was"},
	{PrimaryUnknown, "this VM no longer takes an instance for the primary, with the reason"},
	{ShardHeld, "this VM has begun to grant a part of the teams' limits"},
	{ShardReleased, "this VM has ended granting a part of the teams' limits, with the reason"},
	{TeamOverLimit, "an operation was refused because its team has used its limit; sampled"},
	{RampBegun, "an instance has started, restarted, recovered, become the primary or not answered for a second, and gets a share of its load for now, with the reason; sampled for each instance"},
	{InstanceAvoided, "this gateway has refused a read of another VM because of a fault of the instance, so that it runs on another instance, with the reason; sampled for each instance"},
	{TeamWaits, "a request of a team has waited for at least 200 ms for a connection to an instance, with or without success; sampled for each team"},
	{TeamRefused, "the operation of a caller was refused for its key, with the reason and the database; sampled"},
	{TeamsInForce, "a configuration with teams is in force on this VM, with the numbers of teams and of keys"},
	{ClientClosed, "the connection with the heaviest use and the slowest progress was chosen to be closed, because clients occupy more of a resource than the process may spend on them; sampled"},
	{ClientRefused, "a connection or a request was refused, because clients occupy as much of a resource as the process may spend on them; sampled"},
}

// Table returns the descriptions of all events as a new slice.
func Table() []EventDescription { return append([]EventDescription(nil), eventTable...) }
