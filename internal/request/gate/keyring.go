package gate

import (
	"net/http"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

const (
	// keyScheme is the authentication scheme of API keys.
	keyScheme = "Token"
	// maxKeyBytes is the length above which a key is unknown without being hashed, so
	// that a call costs at most one hash of this size.
	maxKeyBytes = 256
)

// keyring is the index of API keys of one version of the configuration.
type keyring struct {
	log *logrus.Entry

	mu sync.RWMutex
	// routing is the version of the index; workspaces are the names of the workspaces by
	// the digests of their keys.
	routing    *cairnbay.Routing
	workspaces map[cairnbay.KeyDigest]string
}

// find returns the workspace of a key. The index is made at the first call for a
// version of the configuration.
func (k *keyring) find(routing *cairnbay.Routing, digest cairnbay.KeyDigest) (workspace string, ok bool) {
	k.mu.RLock()
	if k.routing == routing {
		defer k.mu.RUnlock()
		workspace, ok = k.workspaces[digest]
		return workspace, ok
	}
	k.mu.RUnlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.routing == nil || k.routing.Version < routing.Version {
		k.routing, k.workspaces = routing, k.index(routing)
	}
	if k.routing != routing {
		// A call that began before the last change is decided by its own version.
		workspace, ok = k.index(routing)[digest]
		return workspace, ok
	}
	workspace, ok = k.workspaces[digest]
	return workspace, ok
}

// index returns the names of the workspaces by the digests of their keys. A key that
// several workspaces have belongs to the first.
func (k *keyring) index(routing *cairnbay.Routing) map[cairnbay.KeyDigest]string {
	workspaces := make(map[cairnbay.KeyDigest]string)
	for _, workspace := range routing.Workspaces {
		for _, digest := range workspace.Keys {
			if first, taken := workspaces[digest]; taken {
				k.log.WithFields(logrus.Fields{
					"version": routing.Version, "key": digest.String(), "workspace": first, "ignored": workspace.Name,
				}).Warn("key of several workspaces")
				continue
			}
			workspaces[digest] = workspace.Name
		}
	}
	return workspaces
}

// readKey returns the key of a call, which is the credentials of the header
// Authorization. The reason for a refusal is empty if there is one.
func readKey(request *http.Request) (key string, refused refusalReason) {
	values := request.Header.Values("Authorization")
	if len(values) == 0 {
		return "", keyMissing
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	if len(values) > 1 || !found || !strings.EqualFold(scheme, keyScheme) || key == "" {
		return "", keyMalformed
	}
	if len(key) > maxKeyBytes {
		return "", keyUnknown
	}
	return key, ""
}

// authenticate sets the scope of a call. If the queue needs a key and the call has
// none of a workspace, it responds with 401 and returns false. The cost of a refusal
// is at most one hash and a look-up in a map; it calls no owner and keeps nothing.
func (g *Gate) authenticate(
	writer http.ResponseWriter, request *http.Request, routing *cairnbay.Routing, callerReq *callerRequest,
) bool {
	if !routing.KeysRequired {
		return true
	}
	if callerReq.queue.Public {
		callerReq.scope = &cairnbayv1.AccessScope{}
		return true
	}
	key, refused := readKey(request)
	if refused == "" {
		digest := cairnbay.DigestKey(key)
		if workspace, ok := g.keys.find(routing, digest); ok {
			callerReq.scope = &cairnbayv1.AccessScope{Workspace: workspace}
			return true
		}
		refused = keyUnknown
		g.unauthorised.add(refused, callerReq, routing.Version, digest.String())
	} else {
		g.unauthorised.add(refused, callerReq, routing.Version, "")
	}
	writer.Header().Set("WWW-Authenticate", keyScheme)
	http.Error(writer, "no valid key", http.StatusUnauthorized)
	return false
}
