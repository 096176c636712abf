package faker

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"sapphiredrum.example/sapphiredrum"
)

// platformWeb serves a platform.
type platformWeb struct {
	platform *Platform
	watch    watch
}

// Bodies of the table's, the list's and the control requests and answers.
type (
	readBody struct {
		Keys []sapphiredrum.RowKey `json:"keys"`
	}
	rowsBody struct {
		Rows     []sapphiredrum.Row    `json:"rows"`
		Sequence sapphiredrum.Sequence `json:"sequence"`
	}
	changesBody struct {
		Prefix sapphiredrum.RowKey   `json:"prefix"`
		After  sapphiredrum.Sequence `json:"after"`
	}
	commitBody struct {
		Transaction sapphiredrum.Transaction `json:"transaction"`
	}
	sequenceBody struct {
		Sequence sapphiredrum.Sequence `json:"sequence"`
	}
	membersBody struct {
		Members []sapphiredrum.Member `json:"members"`
	}
	platformFaultsBody struct {
		Faults  PlatformFaults `json:"faults"`
		Secrets []string       `json:"secrets"`
	}
	platformCountersBody struct {
		Platform PlatformCounters `json:"platform"`
		Requests RequestCounters  `json:"requests"`
	}
)

// PlatformHandler serves a platform over HTTP with JSON.
//
// POST /table/read, /table/changes and /table/commit serve the table, PUT, GET
// and DELETE /objects/NAME the object store, GET /members the list. POST /members
// sets the list, POST /faults the faults; GET /counters tells what was done.
func PlatformHandler(platform *Platform) http.Handler {
	w := &platformWeb{platform: platform}
	web := newWeb(&w.watch)
	web.POST("/table/read", w.read)
	web.POST("/table/changes", w.changes)
	web.POST("/table/commit", w.commit)
	web.PUT("/objects/*", w.put)
	web.GET("/objects/*", w.get)
	web.DELETE("/objects/*", w.remove)
	web.GET("/members", w.members)
	web.POST("/members", w.setMembers)
	web.POST("/faults", w.setFaults)
	web.GET("/counters", w.counters)
	return web
}

// read serves POST /table/read.
func (w *platformWeb) read(c echo.Context) error {
	var body readBody
	if err := c.Bind(&body); err != nil {
		return err
	}
	rows, err := w.platform.Read(c.Request().Context(), body.Keys...)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, rowsBody{Rows: rows})
}

// changes serves POST /table/changes.
func (w *platformWeb) changes(c echo.Context) error {
	var body changesBody
	if err := c.Bind(&body); err != nil {
		return err
	}
	rows, sequence, err := w.platform.Changes(c.Request().Context(), body.Prefix, body.After)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, rowsBody{Rows: rows, Sequence: sequence})
}

// commit serves POST /table/commit.
func (w *platformWeb) commit(c echo.Context) error {
	var body commitBody
	if err := c.Bind(&body); err != nil {
		return err
	}
	sequence, err := w.platform.Commit(detached(c), body.Transaction)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, sequenceBody{Sequence: sequence})
}

// put serves PUT /objects/NAME.
func (w *platformWeb) put(c echo.Context) error {
	name, err := parameter(c, "*")
	if err != nil {
		return err
	}
	value, err := readBytes(c)
	if err != nil {
		return err
	}
	if err := w.platform.Put(detached(c), name, value); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// get serves GET /objects/NAME.
func (w *platformWeb) get(c echo.Context) error {
	name, err := parameter(c, "*")
	if err != nil {
		return err
	}
	value, err := w.platform.Get(c.Request().Context(), name)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, value)
}

// remove serves DELETE /objects/NAME.
func (w *platformWeb) remove(c echo.Context) error {
	name, err := parameter(c, "*")
	if err != nil {
		return err
	}
	if err := w.platform.Delete(detached(c), name); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// members serves GET /members.
func (w *platformWeb) members(c echo.Context) error {
	members, err := w.platform.Members(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, membersBody{Members: members})
}

// setMembers serves POST /members.
func (w *platformWeb) setMembers(c echo.Context) error {
	var body membersBody
	if err := c.Bind(&body); err != nil {
		return err
	}
	w.platform.SetMembers(body.Members)
	return c.NoContent(http.StatusNoContent)
}

// setFaults serves POST /faults.
func (w *platformWeb) setFaults(c echo.Context) error {
	var body platformFaultsBody
	if err := c.Bind(&body); err != nil {
		return err
	}
	w.platform.SetFaults(body.Faults)
	w.watch.watchFor(body.Secrets)
	return c.NoContent(http.StatusNoContent)
}

// counters serves GET /counters.
func (w *platformWeb) counters(c echo.Context) error {
	return c.JSON(http.StatusOK, platformCountersBody{Platform: w.platform.Counters(), Requests: w.watch.seen()})
}
