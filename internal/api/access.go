package api

import (
	"context"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/auth"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// Access says who may use the interface. The zero value admits anyone.
type Access struct {
	// Operators may change and ask; empty admits anyone.
	Operators []auth.Operator
	// AnnounceToken is what announcements must carry; nil admits anyone.
	AnnounceToken *auth.TokenHash
	// Log hears of who is refused; it may be nil without the above.
	Log logrus.FieldLogger
}

type operatorKey struct{}

// OperatorOf returns the name of the operator who sent the request, or empty
// where none are listed.
func OperatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// operator admits requests of an operator.
func (a Access) operator(next http.Handler) http.Handler {
	if len(a.Operators) == 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := auth.FindOperator(a.Operators, bearer(r))
		if !ok {
			a.refuse(w, r)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

// announcer admits requests with the token of the instances.
func (a Access) announcer(next http.Handler) http.Handler {
	if a.AnnounceToken == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.AnnounceToken.Matches(bearer(r)) {
			a.refuse(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a Access) refuse(w http.ResponseWriter, r *http.Request) {
	a.Log.WithFields(logrus.Fields{"from": r.RemoteAddr, "path": r.URL.Path}).Warn("audit: refused, no valid token")
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeError(w, errkind.New(errkind.Unauthenticated, "expected a bearer token"))
}

// bearer returns the token of a request, or empty.
func bearer(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || len(token) > auth.MaxTokenBytes {
		return ""
	}
	return token
}
