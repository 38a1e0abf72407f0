package steering

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"bluebellhold/id"
	"bluebellhold/note"
	"bluebellhold/store"
)

// proposals holds the release notes that operators have proposed to this instance; one is processed at a time.
type proposals struct {
	current  *proposal
	queued   []NoteProposed
	lastCall uint64
}

// hasUnresolvedCommit reports whether a proposal may have been accepted as an epoch that this instance does not have
// yet.
func (p *proposals) hasUnresolvedCommit() bool {
	return p.current != nil && p.current.commitSent
}

// proposal is a release note that is being committed to the table.
type proposal struct {
	NoteProposed
	callID  uint64
	step    proposalStep
	next    *note.Compiled
	digest  id.Digest
	body    []byte
	headRow store.Row
	retryAt time.Time
	// commitSent is set once the transaction may have taken effect.
	commitSent bool
}

type proposalStep int

const (
	stepRead proposalStep = iota + 1
	stepLoad
	stepWrite
	stepCommit
)

func noteRow(n id.Note) string { return "note/" + string(n) }

// ReleasePrefix is the name prefix of the rows that list the accepted notes in the order of their epochs.
const ReleasePrefix = "release/"

// ReleaseRow returns the name of the row for an epoch; the number is padded with zeros so that names sort by epoch.
func ReleaseRow(epoch id.Epoch) string {
	digits := strconv.FormatUint(uint64(epoch), 10)
	return ReleasePrefix + strings.Repeat("0", maxEpochDigits-len(digits)) + digits
}

// maxEpochDigits is the number of decimal digits of the largest epoch.
const maxEpochDigits = 20

// EpochObject returns the name of the object that holds the content of an epoch.
func EpochObject(epoch id.Epoch, digest id.Digest) string {
	return "epoch/" + strconv.FormatUint(uint64(epoch), 10) + "-" + digest.String()
}

// handleNoteProposed queues a release note and starts it unless another one is being processed.
func (s *State) handleNoteProposed(e NoteProposed) {
	s.proposals.queued = append(s.proposals.queued, e)
	s.startProposal()
}

func (s *State) startProposal() {
	if s.proposals.current != nil || len(s.proposals.queued) == 0 {
		return
	}
	s.proposals.current = &proposal{NoteProposed: s.proposals.queued[0]}
	s.proposals.queued = s.proposals.queued[1:]
	s.readProposalRows(s.proposals.current)
}

// newProposalCall numbers the next platform call, so that late results of earlier calls are ignored.
func (s *State) newProposalCall(p *proposal, nextStep proposalStep) Call {
	s.proposals.lastCall++
	p.callID = s.proposals.lastCall
	p.step = nextStep
	p.retryAt = s.now.Add(time.Second)
	return Call{OwnerProposals, p.callID}
}

func (s *State) readProposalRows(p *proposal) {
	call := s.newProposalCall(p, stepRead)
	s.emit(ReadRows{Call: call, Names: []string{HeadRow, noteRow(p.Note.ID)}})
}

// continueProposal starts over if a step has no result after its timeout, until the operator's deadline.
func (s *State) continueProposal() {
	p := s.proposals.current
	if p == nil || s.now.Before(p.retryAt) {
		return
	}
	if s.now.After(p.Deadline) {
		s.endProposal(0, &StoreError{OutcomeUnknown: p.commitSent})
		return
	}
	// The rows show whether an earlier transaction took effect.
	s.readProposalRows(p)
}

func (s *State) endProposal(epoch id.Epoch, err error) {
	s.emit(Reply{ID: s.proposals.current.ID, Epoch: epoch, Err: err})
	s.proposals.current = nil
	s.startProposal()
}

func (s *State) proposalForCall(call Call, expected proposalStep) *proposal {
	p := s.proposals.current
	if p == nil || p.callID != call.ID || p.step != expected {
		return nil
	}
	return p
}

// handleProposalRead continues according to the rows of the head and of the note.
func (s *State) handleProposalRead(e RowsRead) {
	p := s.proposalForCall(e.Call, stepRead)
	if p == nil || e.Err != nil {
		return
	}
	if acceptedHead, ok := parseHead(e.Rows[1]); ok && acceptedHead.Epoch > 0 {
		s.acceptProposal(p, acceptedHead)
		return
	}
	head, ok := parseHead(e.Rows[0])
	if !ok {
		s.endProposal(0, &StoreError{})
		return
	}
	p.headRow = e.Rows[0]
	if head.Epoch > s.epochs.current.Epoch {
		p.step = stepLoad
		s.recordHead(head)
		return
	}
	if head.Epoch < s.epochs.current.Epoch {
		s.endProposal(0, &StoreError{})
		return
	}
	s.writeProposal(p)
}

// acceptProposal ends a proposal whose note has been committed.
func (s *State) acceptProposal(p *proposal, head Head) {
	if p.next != nil && p.next.Epoch == head.Epoch && p.digest == head.Digest && head.Epoch > s.epochs.current.Epoch {
		s.applyConfiguration(p.next, p.digest, p.body)
	}
	s.recordHead(head)
	s.endProposal(head.Epoch, nil)
}

// writeProposal applies the note to the newest configuration and writes the result to the object store.
func (s *State) writeProposal(p *proposal) {
	next, _, err := note.PlanAndApply(s.epochs.current.Configuration, p.Note, s.measuredLoad())
	if err != nil {
		s.endProposal(0, err)
		return
	}
	body, digest, err := note.Encode(next)
	if err != nil {
		s.endProposal(0, err)
		return
	}
	p.next, p.body, p.digest = note.Compile(next), body, digest
	call := s.newProposalCall(p, stepWrite)
	s.emit(WriteObject{Call: call, Name: EpochObject(next.Epoch, digest), Body: body})
}

func (s *State) handleProposalWritten(e ObjectDone) {
	p := s.proposalForCall(e.Call, stepWrite)
	if p == nil || e.Err != nil {
		return
	}
	value, err := json.Marshal(Head{Epoch: p.next.Epoch, Digest: p.digest, Note: p.Note.ID, Time: s.now.UTC()})
	if err != nil {
		s.endProposal(0, err)
		return
	}
	p.commitSent = true
	s.emit(Transact{Call: s.newProposalCall(p, stepCommit), Transaction: store.Transaction{
		Conditions: []store.Condition{{Name: HeadRow, Version: p.headRow.Version}, {Name: noteRow(p.Note.ID)}},
		Writes: []store.Write{
			{Name: HeadRow, Value: value},
			{Name: noteRow(p.Note.ID), Value: value},
			{Name: ReleaseRow(p.next.Epoch), Value: value},
		},
	}})
}

// handleProposalCommitted ends a proposal; if another note was accepted first, the error has the epoch of that note.
func (s *State) handleProposalCommitted(e TransactionDone) {
	p := s.proposalForCall(e.Call, stepCommit)
	if p == nil || e.Err != nil {
		return
	}
	if e.Result.Committed {
		s.acceptProposal(p, Head{Epoch: p.next.Epoch, Digest: p.digest, Note: p.Note.ID})
		return
	}
	if head, ok := parseHead(e.Result.Rows[1]); ok && head.Epoch > 0 {
		s.acceptProposal(p, head)
		return
	}
	head, _ := parseHead(e.Result.Rows[0])
	s.recordHead(head)
	s.endProposal(0, &note.ConflictError{Epoch: head.Epoch})
}
