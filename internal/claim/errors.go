package claim

import (
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
)

// notRunRemedy is the remedy of a rejected request. It keeps the idempotency
// key, because an earlier request with the same key may have run.
const notRunRemedy = "send the request again with the same idempotency key"

var (
	errOverloaded = apierror.New(apierror.KindOverloaded, apierror.NotRun,
		"too many calls wait for their results to be written", notRunRemedy).WithRetryAfter(time.Second)
	errStoreUnavailable = apierror.New(apierror.KindUnavailable, apierror.NotRun,
		"the call could not be claimed because the table service did not answer", notRunRemedy).WithRetryAfter(time.Second)
	errDeadlineExceeded = apierror.New(apierror.KindDeadlineExceeded, apierror.NotRun,
		"the deadline passed before the call could be sent", notRunRemedy+" and allow more time")
	errNotAuthorized = apierror.New(apierror.KindUnavailable, apierror.NotRun,
		"this VM may not send work now", notRunRemedy).WithRetryAfter(time.Second)
	errKeyReused = apierror.New(apierror.KindConflict, apierror.NotRun,
		"the idempotency key was used for another request (method, path or body differ)",
		"use a new key for each request")
	errOutcomeUnknown = apierror.New(apierror.KindOutcomeUnknown, apierror.OutcomeUnknown,
		"an earlier request with this idempotency key may have run and its result is not known; it is not run again",
		"ask the service what became of it, or repeat later to read the result")
	errCorruptRow = apierror.New(apierror.KindOutcomeUnknown, apierror.OutcomeUnknown,
		"the record of an earlier request with this idempotency key cannot be read", "report the request id to the operators")
	errResponseUnreadable = apierror.New(apierror.KindUnavailable, apierror.OutcomeUnknown,
		"the call ran, and its kept answer cannot be read now", "repeat the request later with the same key").WithRetryAfter(time.Second)
	errNoDeadline = apierror.New(apierror.KindInternal, apierror.NotRun,
		"a call without a deadline cannot be claimed", "report the request id to the operators")
)
