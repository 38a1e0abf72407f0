package steering

// StoreError reports a release note that could not be written to the platform's table in time.
type StoreError struct {
	// OutcomeUnknown is set if the note may have been accepted; proposing the same note again shows whether it was.
	OutcomeUnknown bool
}

// Error describes the failure.
func (e *StoreError) Error() string {
	if e.OutcomeUnknown {
		return "steering: it is unknown whether the release note was accepted, the store did not answer"
	}
	return "steering: the release note was not accepted, the store did not answer"
}
