package admitter

// retryBudget limits retries to a ratio of first attempts.
type retryBudget struct {
	// ratio is the number of retries that one first attempt adds.
	ratio float64
	// available is the number of retries that are allowed now, at most maxAvailableRetries.
	available float64
}

const (
	// maxAvailableRetries bounds the burst of retries after a time without failures.
	maxAvailableRetries = 50
	// initialAvailableRetries lets a node retry before it has served many requests.
	initialAvailableRetries = 5
)

func newRetryBudget(ratio float64) retryBudget {
	return retryBudget{ratio: ratio, available: initialAvailableRetries}
}

func (b *retryBudget) addFirstAttempt() {
	b.available = min(b.available+b.ratio, maxAvailableRetries)
}

// spend uses up one retry and reports whether it is allowed. A continuation of a stream that has delivered tokens is always
// allowed, since refusing it would cut off an answer that was already admitted.
func (b *retryBudget) spend(continuation bool) bool {
	if continuation {
		return true
	}
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
