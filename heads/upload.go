package heads

import "bytes"

// unknownLength is the length of a body that doesn't say how long it is.
const unknownLength = -1

// upload follows how much of a request has been written. It counts the bytes itself, since net/http doesn't tell when the
// last one was written: httptrace.WroteRequest comes before the last part leaves the buffer.
type upload struct {
	// bodyLeft is the number of bytes of the body that are still to be written; unknownLength if nobody knows.
	bodyLeft int64
	// headEnded is set once the whole head was written, and headTail has the last bytes that were written before.
	headEnded bool
	headTail  []byte
}

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// newUpload returns the upload of a request with a body of the given length in bytes, or of unknownLength.
func newUpload(bodyLength int64) upload {
	return upload{bodyLeft: bodyLength}
}

// add counts bytes of the request that were written.
func (u *upload) add(written []byte) {
	if u.headEnded {
		u.countBody(len(written))
		return
	}
	head := append(u.headTail, written...)
	end := bytes.Index(head, headEnd)
	if end < 0 {
		u.headTail = head[max(0, len(head)-len(headEnd)+1):]
		return
	}
	u.headEnded, u.headTail = true, nil
	u.countBody(len(head) - end - len(headEnd))
}

func (u *upload) countBody(bytes int) {
	if u.bodyLeft != unknownLength {
		u.bodyLeft -= int64(bytes)
	}
}

// begun reports whether anything was written.
func (u *upload) begun() bool {
	return u.headEnded || len(u.headTail) > 0
}

// complete reports whether the whole request was written. A body of unknown length counts as complete, for want of a
// count.
func (u *upload) complete() bool {
	return u.headEnded && u.bodyLeft <= 0
}
