package generator

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Arrival is one request of a load run.
type Arrival struct {
	Number int
	// At is the time since the start of the run.
	At   time.Duration
	Team Team
	// Prompt and Output are the lengths of the prompt and of the requested output.
	Prompt modeler.Tokens
	Output modeler.Tokens
	// Prefix is the index of the shared prefix, or -1 without one.
	Prefix int
}

// Class returns the length class of the prompt.
func (a Arrival) Class() modeler.LengthClass { return modeler.ClassOf(a.Prompt) }

const (
	minPromptTokens = 1_000
	// shortMedianTokens and shortSigma are the median, and the standard deviation of the logarithm, of the log-normally distributed lengths
	// of prompts that are neither long nor huge.
	shortMedianTokens = 2_000
	shortSigma        = 0.9
	// sharedPrefixTokens is the length of a shared prefix.
	sharedPrefixTokens = 512
	// TokenBytes is the size of one token of prompt text, in bytes.
	TokenBytes = 4
)

// Arrivals returns the requests of a plan in order of arrival.
func Arrivals(plan Plan) []Arrival {
	random := rand.New(rand.NewPCG(plan.Seed, plan.Seed))
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / plan.Rate * float64(time.Second))
		if at >= plan.Duration.Std() {
			return arrivals
		}
		arrivals = append(arrivals, Arrival{
			Number: len(arrivals), At: at, Team: pickTeam(plan, random), Prompt: promptLength(plan, random),
			Output: outputLength(plan, random), Prefix: pickPrefix(plan, random),
		})
	}
}

func pickTeam(plan Plan, random *rand.Rand) Team {
	total := 0.0
	for _, t := range plan.Teams {
		total += t.Weight
	}
	rest := random.Float64() * total
	for _, t := range plan.Teams {
		if rest -= t.Weight; rest < 0 {
			return t
		}
	}
	return plan.Teams[len(plan.Teams)-1]
}

func promptLength(plan Plan, random *rand.Rand) modeler.Tokens {
	draw := random.Float64()
	var length float64
	switch {
	case draw < plan.HugePart:
		length = logUniform(random, float64(modeler.LongLimit)+1, float64(plan.MaxPrompt))
	case draw < plan.HugePart+plan.LongPart:
		length = logUniform(random, float64(modeler.MediumLimit)+1, float64(modeler.LongLimit))
	default:
		length = min(shortMedianTokens*math.Exp(shortSigma*random.NormFloat64()), float64(modeler.MediumLimit))
	}
	return modeler.Tokens(min(max(length, minPromptTokens), float64(plan.MaxPrompt)))
}

func logUniform(random *rand.Rand, low, high float64) float64 {
	if high <= low {
		return low
	}
	return math.Exp(math.Log(low) + random.Float64()*(math.Log(high)-math.Log(low)))
}

func outputLength(plan Plan, random *rand.Rand) modeler.Tokens {
	return modeler.Tokens(min(max(random.ExpFloat64()*plan.MeanOutput, 1), float64(plan.MaxOutput)))
}

func pickPrefix(plan Plan, random *rand.Rand) int {
	if plan.Prefixes == 0 || random.Float64() >= plan.SharedPart {
		return -1
	}
	return random.IntN(plan.Prefixes)
}

// Text returns the prompt text of an arrival. Prompts with the same prefix start with the same text; the rest is unique to the arrival.
func Text(a Arrival) string {
	var text strings.Builder
	size := int(a.Prompt) * TokenBytes
	text.Grow(size)
	if a.Prefix >= 0 {
		fill(&text, min(size, sharedPrefixTokens*TokenBytes), "shared-"+strconv.Itoa(a.Prefix)+" ")
	}
	fill(&text, size, "request-"+strconv.Itoa(a.Number)+" ")
	return text.String()
}

// fill appends word to text repeatedly, and dots at the end, until text has size bytes.
func fill(text *strings.Builder, size int, word string) {
	for text.Len()+len(word) <= size {
		text.WriteString(word)
	}
	text.WriteString(strings.Repeat(".", size-text.Len()))
}
