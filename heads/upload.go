package heads

// unknownLength is the length of a body that doesn't say how long it is.
const unknownLength = -1

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// upload follows how much of a request has been written. It counts the bytes itself, since net/http doesn't tell when the
// last one was written: httptrace.WroteRequest comes before the last part leaves the buffer.
type upload struct {
	// begun is set once anything was written.
	begun bool
	// headEndBytes is how many bytes of headEnd were written last; all of them once the whole head was.
	headEndBytes int
	// bodyLeft is the number of bytes of the body that are still to be written; unknownLength if nobody knows.
	bodyLeft int64
}

// newUpload returns the upload of a request with a body of the given length in bytes, or of unknownLength.
func newUpload(bodyLength int64) *upload {
	return &upload{bodyLeft: bodyLength}
}

// add counts bytes of the request that were written.
func (u *upload) add(written []byte) {
	u.begun = u.begun || len(written) > 0
	body := written[u.addHead(written):]
	if u.bodyLeft != unknownLength {
		u.bodyLeft -= int64(len(body))
	}
}

// addHead looks for the end of the head, unless it came before, and returns how many of the bytes belong to the head.
func (u *upload) addHead(written []byte) int {
	for i, b := range written {
		switch {
		case u.headEndBytes == len(headEnd):
			return i
		case b == headEnd[u.headEndBytes]:
			u.headEndBytes++
		case b == headEnd[0]:
			u.headEndBytes = 1
		default:
			u.headEndBytes = 0
		}
	}
	return len(written)
}

// complete reports whether the whole request was written. A body of unknown length counts as complete, for want of a
// count.
func (u *upload) complete() bool {
	return u.headEndBytes == len(headEnd) && u.bodyLeft <= 0
}
