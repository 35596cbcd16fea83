// Package logger writes one key=value line for each event.
//
// Event names and their keys are an interface: operators' alarms match on them.
// Adding one is a feature, renaming one breaks alarms.
package logger

// Event is the stable name of an event.
type Event string

// The events.
const (
	VMStarted           Event = "vmStarted"
	VMReady             Event = "vmReady"
	VMStopping          Event = "vmStopping"
	VMStopped           Event = "vmStopped"
	SheetInForce        Event = "sheetInForce"
	SheetFault          Event = "sheetFault"
	MemberChanged       Event = "memberChanged"
	GatewayStarted      Event = "gatewayStarted"
	GatewayStopped      Event = "gatewayStopped"
	PrimarySuspected    Event = "primarySuspected"
	FailoverStarted     Event = "failoverStarted"
	FailoverDone        Event = "failoverDone"
	FailoverFailed      Event = "failoverFailed"
	FailoverHeldBack    Event = "failoverHeldBack"
	SwitchStarted       Event = "switchStarted"
	SwitchDone          Event = "switchDone"
	SwitchFailed        Event = "switchFailed"
	InstanceRepaired    Event = "instanceRepaired"
	CallerRefused       Event = "callerRefused"
	UnitFailed          Event = "unitFailed"
	ForwardFailed       Event = "forwardFailed"
	PlatformUnreachable Event = "platformUnreachable"
)

// Row describes an event for the reference page.
type Row struct {
	Event Event
	Title string
}

var table = []Row{
	{VMStarted, "the process listens"},
	{VMReady, "the VM has a sheet and takes callers"},
	{VMStopping, "a planned stop has begun"},
	{VMStopped, "the process ends"},
	{SheetInForce, "a new version of the sheet is in force on this VM"},
	{SheetFault, "a sheet could not be read from the store or a peer"},
	{MemberChanged, "the belief about a VM changed"},
	{GatewayStarted, "this VM became a gateway of a database"},
	{GatewayStopped, "this VM is no longer a gateway of a database"},
	{PrimarySuspected, "there is evidence that a primary has failed"},
	{FailoverStarted, "this VM fences the old term of a group"},
	{FailoverDone, "a new primary is confirmed"},
	{FailoverFailed, "a failover ended without a new primary"},
	{FailoverHeldBack, "many groups look dead at once from this VM only"},
	{SwitchStarted, "a planned switch away from a leaving primary has begun"},
	{SwitchDone, "a planned switch ended with a new primary"},
	{SwitchFailed, "a planned switch ended without a new primary"},
	{InstanceRepaired, "an instance was told to follow the current primary"},
	{CallerRefused, "a caller's start-up was refused"},
	{UnitFailed, "a unit of work ended with an error of the proxy"},
	{ForwardFailed, "a gateway VM could not be reached or cut a unit"},
	{PlatformUnreachable, "the platform's store does not answer"},
}

// Table returns a copy of the table of events.
func Table() []Row { return append([]Row(nil), table...) }
