package entry_test

import "errors"

// asError is errors.As, for any error type.
func asError[E error](err error, into *E) bool { return errors.As(err, into) }
