package entry_test

import (
	"errors"

	"github.com/wardspool/wardspool/kernel"
)

// errorAs is errors.As with the type of error as a type parameter.
func errorAs[E error](err error, into *E) bool { return errors.As(err, into) }

// unknownModel is the reason for refusing a model that the bundle does not declare.
const unknownModel = kernel.ReasonUnknownModel
