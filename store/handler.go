package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/gorilla/mux"
)

// HandlerConfig names the parts that NewHandler serves; parts that are nil share one new Memory.
type HandlerConfig struct {
	Table     Table
	Objects   Objects
	Directory Directory
}

type handler struct {
	HandlerConfig
}

// NewHandler serves the platform's paths as Client calls them.
func NewHandler(config HandlerConfig) http.Handler {
	var memory Memory
	if config.Table == nil {
		config.Table = &memory
	}
	if config.Objects == nil {
		config.Objects = &memory
	}
	if config.Directory == nil {
		config.Directory = &memory
	}
	h := &handler{HandlerConfig: config}
	// Matching the encoded path keeps object names with slashes, dots or percent signs as they are.
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/table/transact", h.transact).Methods(http.MethodPost)
	router.HandleFunc("/table/read", h.read).Methods(http.MethodPost)
	router.HandleFunc("/table/scan", h.scan).Methods(http.MethodPost)
	router.HandleFunc("/objects/{name:.+}", h.get).Methods(http.MethodGet)
	router.HandleFunc("/objects/{name:.+}", h.put).Methods(http.MethodPut)
	router.HandleFunc("/objects/{name:.+}", h.remove).Methods(http.MethodDelete)
	router.HandleFunc("/instances", h.list).Methods(http.MethodGet)
	return router
}

func (h *handler) transact(w http.ResponseWriter, r *http.Request) {
	var t Transaction
	if !decode(w, r, &t) {
		return
	}
	result, err := h.Table.Transact(r.Context(), t)
	answer(w, result, err)
}

func (h *handler) read(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Names []string `json:"names"`
	}
	if !decode(w, r, &call) {
		return
	}
	rows, err := h.Table.Read(r.Context(), call.Names)
	answerRows(w, rows, err)
}

func (h *handler) scan(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}
	if !decode(w, r, &call) {
		return
	}
	rows, err := h.Table.Scan(r.Context(), call.Prefix, call.After, call.Limit)
	answerRows(w, rows, err)
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	name, ok := objectName(w, r)
	if !ok {
		return
	}
	body, err := h.Objects.Get(r.Context(), name)
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	name, ok := objectName(w, r)
	if !ok {
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	answer(w, struct{}{}, h.Objects.Put(r.Context(), name, body))
}

func (h *handler) remove(w http.ResponseWriter, r *http.Request) {
	name, ok := objectName(w, r)
	if !ok {
		return
	}
	answer(w, struct{}{}, h.Objects.Delete(r.Context(), name))
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	members, err := h.Directory.List(r.Context())
	answer(w, struct {
		Instances []Member `json:"instances"`
	}{members}, err)
}

func objectName(w http.ResponseWriter, r *http.Request) (string, bool) {
	name, err := url.PathUnescape(mux.Vars(r)["name"])
	if err != nil {
		reply(w, http.StatusBadRequest, failure(err))
		return "", false
	}
	return name, true
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(DefaultMaxBodySize)))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		reply(w, http.StatusRequestEntityTooLarge, failure(err))
		return nil, false
	}
	if err != nil {
		reply(w, http.StatusBadRequest, failure(err))
		return nil, false
	}
	return body, true
}

func decode(w http.ResponseWriter, r *http.Request, call any) bool {
	body, ok := readBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, call); err != nil {
		reply(w, http.StatusBadRequest, failure(err))
		return false
	}
	return true
}

func answerRows(w http.ResponseWriter, rows []Row, err error) {
	answer(w, struct {
		Rows []Row `json:"rows"`
	}{rows}, err)
}

func answer(w http.ResponseWriter, body any, err error) {
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, http.StatusOK, body)
}

func refuse(w http.ResponseWriter, err error) {
	var missing *NotFoundError
	if errors.As(err, &missing) {
		reply(w, http.StatusNotFound, struct {
			Missing string `json:"missing"`
		}{missing.Name})
		return
	}
	reply(w, http.StatusServiceUnavailable, failure(err))
}

func failure(err error) any {
	return struct {
		Error string `json:"error"`
	}{err.Error()}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
