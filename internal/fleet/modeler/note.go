package modeler

// NoteName names an event of the log. The list is closed: operators search for these names, and docs/OPERATIONS.md explains each.
type NoteName string

// Events of the process.
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

// Events that change what a node believes.
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
	// NoteEndpointKnown: as NoteEndpointChanged, for an endpoint that this node did not know.
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

// Events of a request.
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

// NoteNames lists all events. The writer of the log adds LinesDropped.
var NoteNames = [...]NoteName{
	NoteNodeStarted, NoteNodeLeaving, NoteNodeStopped, NoteSettingsChecked,
	NoteNodeRegistered, NoteCoordinatorChanged, NoteCoordinatorDoubted, NoteConfigurationApplied, NoteDataCentreChanged,
	NoteEndpointKnown, NoteEndpointChanged, NoteEndpointRemoved, NoteEndpointLapsed, NoteEndpointJudged,
	NoteStoreLost, NoteStoreRegained, NoteRecordUnreadable,
	NotePlaced, NotePlaceRefused, NoteAttemptRepeated, NoteRequestEnded, NoteRequestRejected,
}
