package modeler

// NoteName is the name of a log event. The set is fixed: operators search for these names, and docs/OPERATIONS.md documents each one.
type NoteName string

// Log events about the process. Each comment lists the fields.
const (
	// NoteNodeStarted: Node, DataCentre, Incarnation.
	NoteNodeStarted NoteName = "NodeStarted"
	// NoteNodeLeaving: Active.
	NoteNodeLeaving NoteName = "NodeLeaving"
	// NoteNodeStopped: Node, Active.
	NoteNodeStopped NoteName = "NodeStopped"
	// NoteSettingsChecked: Findings.
	NoteSettingsChecked NoteName = "SettingsChecked"
)

// Log events about changes in a node's copy of the fleet's state. Each comment lists the fields.
const (
	// NoteNodeRegistered: Rank.
	NoteNodeRegistered NoteName = "NodeRegistered"
	// NoteCoordinatorChanged: Coordinator, Replaced, Rank.
	NoteCoordinatorChanged NoteName = "CoordinatorChanged"
	// NoteCoordinatorDoubted: Request, Coordinator, HeardBefore.
	NoteCoordinatorDoubted NoteName = "CoordinatorDoubted"
	// NoteConfigurationApplied: Version, Offset, Replaced, Routes.
	NoteConfigurationApplied NoteName = "ConfigurationApplied"
	// NoteDataCentreChanged: DataCentre, Out, Offset.
	NoteDataCentreChanged NoteName = "DataCentreChanged"
	// NoteEndpointKnown: the fields of NoteEndpointChanged, for an endpoint that is new to this node.
	NoteEndpointKnown NoteName = "EndpointKnown"
	// NoteEndpointChanged: Endpoint, Service, Address, DataCentre, Draining, ColdFor, Offset.
	NoteEndpointChanged NoteName = "EndpointChanged"
	// NoteEndpointRemoved: Endpoint, Offset, Kept, Unreadable.
	NoteEndpointRemoved NoteName = "EndpointRemoved"
	// NoteEndpointLapsed: Endpoint, MissingFor.
	NoteEndpointLapsed NoteName = "EndpointLapsed"
	// NoteEndpointJudged: Request, Endpoint, Outcome, Failures, FailureRate, Misdirected.
	NoteEndpointJudged NoteName = "EndpointJudged"
	// NoteStoreLost: Topic, Reason, Offset.
	NoteStoreLost NoteName = "StoreLost"
	// NoteStoreRegained: Topic, SinceFailure.
	NoteStoreRegained NoteName = "StoreRegained"
	// NoteRecordUnreadable: Topic, Key, Offset, error.
	NoteRecordUnreadable NoteName = "RecordUnreadable"
)

// Log events about requests. Each comment lists the fields.
const (
	// NotePlaced: Request, Endpoint, Helpers, Expected, Waited, Left, Prompt, Coordinates.
	NotePlaced NoteName = "Placed"
	// NotePlaceRefused: Request, Reason, Waited, Prompt, Waiting, EndpointsAge.
	NotePlaceRefused NoteName = "PlaceRefused"
	// NoteAttemptRepeated: Request, Attempt, Outcome, Endpoint, Age.
	NoteAttemptRepeated NoteName = "AttemptRepeated"
	// NoteRequestEnded: Request, Route, Status, Code, Endpoint, Helpers, Attempts, Last, Prompt, First, Pause, Took, Late, Reason, RetryAfter.
	NoteRequestEnded NoteName = "RequestEnded"
	// NoteRequestRejected: Request, Code, Version, ConfigurationAge.
	NoteRequestRejected NoteName = "RequestRejected"
)

// NoteNames lists all events except LinesDropped, which the log writer adds.
var NoteNames = [...]NoteName{
	NoteNodeStarted, NoteNodeLeaving, NoteNodeStopped, NoteSettingsChecked,
	NoteNodeRegistered, NoteCoordinatorChanged, NoteCoordinatorDoubted, NoteConfigurationApplied, NoteDataCentreChanged,
	NoteEndpointKnown, NoteEndpointChanged, NoteEndpointRemoved, NoteEndpointLapsed, NoteEndpointJudged,
	NoteStoreLost, NoteStoreRegained, NoteRecordUnreadable,
	NotePlaced, NotePlaceRefused, NoteAttemptRepeated, NoteRequestEnded, NoteRequestRejected,
}
