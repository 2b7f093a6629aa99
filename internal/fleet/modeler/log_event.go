package modeler

// LogEventName is the name of a log event. The set is fixed: operators search for these names, and docs/OPERATIONS.md documents each one.
type LogEventName string

// Log events about the process. Each comment lists the fields.
const (
	// LogEventNodeStarted: Node, DataCentre, Incarnation.
	LogEventNodeStarted LogEventName = "NodeStarted"
	// LogEventNodeLeaving: Active.
	LogEventNodeLeaving LogEventName = "NodeLeaving"
	// LogEventNodeStopped: Node, Active.
	LogEventNodeStopped LogEventName = "NodeStopped"
	// LogEventSettingsChecked: Findings.
	LogEventSettingsChecked LogEventName = "SettingsChecked"
	// LogEventConnectionGaveWay: Address, Held, Received, Phase. At most one line a second.
	LogEventConnectionGaveWay LogEventName = "ConnectionGaveWay"
)

// Log events about changes in a node's copy of the fleet's state. Each comment lists the fields.
const (
	// LogEventNodeRegistered: Rank.
	LogEventNodeRegistered LogEventName = "NodeRegistered"
	// LogEventNodeTimedOut: Node, Coordinator, SinceMessage, SinceReport.
	LogEventNodeTimedOut LogEventName = "NodeTimedOut"
	// LogEventCoordinatorChanged: Coordinator, Replaced, Rank.
	LogEventCoordinatorChanged LogEventName = "CoordinatorChanged"
	// LogEventCoordinatorDoubted: Request, Coordinator, HeardBefore.
	LogEventCoordinatorDoubted LogEventName = "CoordinatorDoubted"
	// LogEventConfigurationApplied: Version, Offset, Replaced, Routes.
	LogEventConfigurationApplied LogEventName = "ConfigurationApplied"
	// LogEventDataCentreChanged: DataCentre, Out, Offset.
	LogEventDataCentreChanged LogEventName = "DataCentreChanged"
	// LogEventEndpointKnown: the fields of LogEventEndpointChanged, for an endpoint that is new to this node.
	LogEventEndpointKnown LogEventName = "EndpointKnown"
	// LogEventEndpointChanged: Endpoint, Service, Address, DataCentre, Draining, ColdFor, Offset.
	LogEventEndpointChanged LogEventName = "EndpointChanged"
	// LogEventEndpointRemoved: Endpoint, Offset, Kept, Unreadable.
	LogEventEndpointRemoved LogEventName = "EndpointRemoved"
	// LogEventEndpointLapsed: Endpoint, MissingFor.
	LogEventEndpointLapsed LogEventName = "EndpointLapsed"
	// LogEventEndpointsRecovered: Endpoints, Dropped.
	LogEventEndpointsRecovered LogEventName = "EndpointsRecovered"
	// LogEventEndpointJudged: Request, Endpoint, Outcome, Failures, FailureRate, Misdirected.
	LogEventEndpointJudged LogEventName = "EndpointJudged"
	// LogEventEndpointTerms: Endpoint, Limited, Limit, Leaving, Pause.
	LogEventEndpointTerms LogEventName = "EndpointTerms"
	// LogEventQuarantined: Request, Fingerprint, SharedPart, Count, For.
	LogEventQuarantined LogEventName = "Quarantined"
	// LogEventQuarantineLifted: Request, Fingerprint, Count, Since.
	LogEventQuarantineLifted LogEventName = "QuarantineLifted"
	// LogEventProbeChosen: Request, Fingerprint, Number, Quarantine, Coordinating.
	LogEventProbeChosen LogEventName = "ProbeChosen"
	// LogEventEnginesSurveyed: Engines.
	LogEventEnginesSurveyed LogEventName = "EnginesSurveyed"
	// LogEventUnplacedWork: Endpoint, Requests, Memory.
	LogEventUnplacedWork LogEventName = "UnplacedWork"
	// LogEventServiceUneven: Service, Uneven, LowestMs, HighestMs.
	LogEventServiceUneven LogEventName = "ServiceUneven"
	// LogEventStoreLost: Topic, Reason, Offset.
	LogEventStoreLost LogEventName = "StoreLost"
	// LogEventStoreRegained: Topic, SinceFailure.
	LogEventStoreRegained LogEventName = "StoreRegained"
	// LogEventStoreRestored: Era, Previous.
	LogEventStoreRestored LogEventName = "StoreRestored"
	// LogEventTopicRestored: Topic, End, Before.
	LogEventTopicRestored LogEventName = "TopicRestored"
	// LogEventRecordHeld: Topic, Key, Offset, Known.
	LogEventRecordHeld LogEventName = "RecordHeld"
	// LogEventOperatorsBehind: Next, Target, For, Failures, Reason.
	LogEventOperatorsBehind LogEventName = "OperatorsBehind"
	// LogEventOperatorsCaughtUp: Next, After, Failures.
	LogEventOperatorsCaughtUp LogEventName = "OperatorsCaughtUp"
	// LogEventStateUnusable: error.
	LogEventStateUnusable LogEventName = "StateUnusable"
	// LogEventRecordUnreadable: Topic, Key, Offset, error.
	LogEventRecordUnreadable LogEventName = "RecordUnreadable"
)

// Log events about requests. Each comment lists the fields.
const (
	// LogEventPlaced: Request, Endpoint, Helpers, Expected, Waited, Left, Prompt, Coordinates, SharedParts.
	LogEventPlaced LogEventName = "Placed"
	// LogEventRetryBorrowed: Request, Service, Lent.
	LogEventRetryBorrowed LogEventName = "RetryBorrowed"
	// LogEventPlaceRefused: Request, Reason, Waited, Prompt, Waiting, EndpointsAge.
	LogEventPlaceRefused LogEventName = "PlaceRefused"
	// LogEventAttemptBroken: Request, Endpoint, Age, FirstEvent, Fingerprint, SharedParts, Count.
	LogEventAttemptBroken LogEventName = "AttemptBroken"
	// LogEventBrokenAttemptReported: Request, Node, Endpoint, Fingerprint, SharedPart, Counted, Count, SinceLast.
	LogEventBrokenAttemptReported LogEventName = "BrokenAttemptReported"
	// LogEventAnswerInvalid: Request, Endpoint, Fault, error.
	LogEventAnswerInvalid LogEventName = "AnswerInvalid"
	// LogEventAttemptRepeated: Request, Attempt, Outcome, Endpoint, Age.
	LogEventAttemptRepeated LogEventName = "AttemptRepeated"
	// LogEventRequestEnded: Request, Route, Status, Code, Endpoint, Helpers, Attempts, Last, Prompt, Output, First, Pause, Took, Late, Reason,
	// RetryAfter.
	LogEventRequestEnded LogEventName = "RequestEnded"
	// LogEventRequestRejected: Request, Code, Version, ConfigurationAge.
	LogEventRequestRejected LogEventName = "RequestRejected"
)

// LogEventNames lists all events except LinesDropped, which the log writer adds.
var LogEventNames = [...]LogEventName{
	LogEventNodeStarted, LogEventNodeLeaving, LogEventNodeStopped, LogEventSettingsChecked,
	LogEventNodeRegistered, LogEventNodeTimedOut, LogEventCoordinatorChanged, LogEventCoordinatorDoubted, LogEventConfigurationApplied, LogEventDataCentreChanged,
	LogEventEndpointKnown, LogEventEndpointChanged, LogEventEndpointRemoved, LogEventEndpointLapsed, LogEventEndpointJudged,
	LogEventEndpointTerms, LogEventQuarantined, LogEventQuarantineLifted, LogEventProbeChosen,
	LogEventStoreLost, LogEventStoreRegained, LogEventRecordUnreadable, LogEventStoreRestored, LogEventTopicRestored, LogEventRecordHeld,
	LogEventOperatorsBehind, LogEventOperatorsCaughtUp, LogEventStateUnusable,
	LogEventPlaced, LogEventPlaceRefused, LogEventAttemptBroken, LogEventBrokenAttemptReported, LogEventAnswerInvalid, LogEventAttemptRepeated, LogEventRequestEnded,
	LogEventRequestRejected,
}
