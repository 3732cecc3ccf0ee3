package entry_test

import (
	"errors"

	"github.com/wardspool/wardspool/kernel"
)

// asError is errors.As, for any error type.
func asError[E error](err error, into *E) bool { return errors.As(err, into) }

// unknownModel is the reason for refusing a model that no bundle declares.
const unknownModel = kernel.ReasonUnknownModel
