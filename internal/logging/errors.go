package logging

import "errors"

// maxErrorBytes bounds the text of an error that holds bytes from another process.
const maxErrorBytes = 300

// BoundError returns err, or an error with the begin of its text if that is long. The errors of
// net/http hold whole lines of malformed responses.
func BoundError(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.New(text[:maxErrorBytes] + "...")
	}
	return err
}
