package collector

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
)

// Names of objectives.
const (
	// FirstToken events are good when the first token came within the limit of the prompt's length class.
	FirstToken = "FirstToken"
	// Answer events are good when the caller got its complete response.
	Answer = "Answer"
)

// Objectives define which events count as good.
type Objectives struct {
	// FirstTokenLimits is indexed by length class.
	FirstTokenLimits [4]time.Duration
	// FirstTokenTarget and AnswerTarget are the fractions of events that must be good, above 0 and below 1.
	FirstTokenTarget float64
	AnswerTarget     float64
}

// DefaultObjectives are the targets of docs/design.md, section 4, which gives 0.62 s without a prompt length. The limits of longer classes
// add the time that an engine needs to process their longest prompt at 12,000 tokens per second. Huge prompts have no upper bound; their
// limit is for a million tokens.
var DefaultObjectives = Objectives{
	FirstTokenLimits: [4]time.Duration{620 * time.Millisecond, 3300 * time.Millisecond, 9 * time.Second, 84 * time.Second},
	FirstTokenTarget: 0.95,
	AnswerTarget:     0.999,
}

// callerCodes are the codes of failures that the caller caused and the service could not avoid. They count for no objective.
var callerCodes = map[modeler.Code]bool{
	modeler.CodeUnknownModel: true, modeler.CodeUnknownService: true, modeler.CodePromptTooLong: true,
	modeler.CodeShareExceeded: true, modeler.CodeShareExhausted: true, modeler.CodeRequestQuarantined: true,
	modeler.CodeKeyMissing: true, modeler.CodeKeyInvalid: true, modeler.CodeKeyExpired: true, modeler.CodeKeyReused: true,
	modeler.CodeCallInProgress: true, forwarder.CodeAnswerNotKept: true,
}

// rating is how an ended request counts for an objective.
type rating uint8

const (
	uncounted rating = iota
	good
	bad
)

func ratingOf(isGood bool) rating {
	if isGood {
		return good
	}
	return bad
}

// firstToken rates the time to the first token. A caller that disconnected before it counts only if it had waited for longer than the limit.
func (o Objectives) firstToken(s forwarder.Summary) rating {
	limit := o.FirstTokenLimits[s.Class]
	switch {
	case s.Kind != modeler.Engine || callerCodes[s.Code]:
		return uncounted
	case s.FirstToken > 0:
		return ratingOf(s.FirstToken <= limit)
	case s.Code == "":
		// The complete response was empty.
		return ratingOf(s.Duration <= limit)
	case s.Code == forwarder.CodeCallerGone && s.Duration <= limit:
		return uncounted
	default:
		return bad
	}
}

// answer rates whether the caller got its complete response.
func (o Objectives) answer(s forwarder.Summary) rating {
	if callerCodes[s.Code] || s.Code == forwarder.CodeCallerGone {
		return uncounted
	}
	return ratingOf(s.Code == "")
}
