package flow

// MaxAnswerBytes bounds the text of the orders in an Answer, in bytes. A front end may need
// several bytes for each, for example six for a control character in JSON.
const MaxAnswerBytes = 512 << 10

const (
	// maxCheckpoint bounds a checkpoint in bytes, so that a start order fits into an answer.
	// A longer one is ignored, and the task resumes from the one before.
	maxCheckpoint = 256 << 10
	// orderBytes is what an order takes beside its texts, in bytes: the numbers of the task,
	// the attempt and separators.
	orderBytes = 64
)

// answerSize adds up the orders in an answer. The zero value is an empty answer.
type answerSize struct {
	bytes int
	// full is set once an order has found no room.
	full bool
}

// add adds an order of a size in bytes, unless the answer has no room for it. An empty
// answer has room for any order.
func (as *answerSize) add(size int) bool {
	if as.bytes > 0 && as.bytes+size > MaxAnswerBytes {
		as.full = true
		return false
	}
	as.bytes += size
	return true
}

func (ord *StartOrder) size() int {
	return orderBytes + len(ord.Task.job) + len(ord.Body) + len(ord.Checkpoint)
}

func (ord *StopOrder) size() int { return orderBytes + len(ord.Task.job) }

func (ord *PaceOrder) size() int { return orderBytes + len(ord.Task.job) }
