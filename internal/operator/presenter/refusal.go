package presenter

// Refusal is the body of a response with a status of 400 or more, unless the path defines another one.
type Refusal struct{ Error Error }

// Error is the reason why a request was refused. Code is stable.
type Error struct {
	Code    string
	Message string
}
