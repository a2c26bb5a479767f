package admin

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
)

// NodeList is the fleet as one node sees it.
type NodeList struct {
	Self  identity.NodeID `json:"self"`
	Nodes []Node          `json:"nodes"`
}

// Node is one member of the fleet.
type Node struct {
	ID             identity.NodeID `json:"id"`
	State          string          `json:"state"`
	Zone           string          `json:"zone"`
	Region         string          `json:"region"`
	PeerAddress    string          `json:"peer_address"`
	GatewayAddress string          `json:"gateway_address"`
	Incarnation    uint64          `json:"incarnation"`
}

// EngineList is what one node knows of the engines that it dispatches to.
type EngineList struct {
	Engines []EngineStatus `json:"engines"`
}

func (s *Server) listNodes(c echo.Context) error {
	return c.JSON(http.StatusOK, s.nodes())
}

func (s *Server) nodes() NodeList {
	view := s.dependencies.Fleet.View()
	list := NodeList{Self: view.Self, Nodes: make([]Node, 0, len(view.Members))}
	for _, member := range view.Members {
		list.Nodes = append(list.Nodes, Node{
			ID: member.ID, State: stateName(member.State), Zone: member.Zone, Region: member.Region,
			PeerAddress: member.PeerAddress, GatewayAddress: member.GatewayAddress, Incarnation: member.Incarnation,
		})
	}
	return list
}

func stateName(state membership.State) string {
	switch state {
	case membership.Alive:
		return "alive"
	case membership.Suspect:
		return "suspect"
	case membership.Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

func (s *Server) drainNode(c echo.Context) error {
	id := identity.NodeID(c.Param("id"))
	if _, known := s.dependencies.Fleet.View().Member(id); !known {
		return apierror.New(http.StatusNotFound, apierror.CodeNotFound, "there is no node %q; `ringstream node list` shows all", id)
	}
	if err := s.dependencies.Drainer.Drain(c.Request().Context(), id); err != nil {
		return err
	}
	return c.JSON(http.StatusAccepted, DrainAnswer{Node: id, State: stateName(membership.Leaving)})
}

// DrainAnswer is the response when a node has accepted the order to stop.
type DrainAnswer struct {
	Node  identity.NodeID `json:"node"`
	State string          `json:"state"`
}

func (s *Server) listEngines(c echo.Context) error {
	engines := s.dependencies.Engines.Engines()
	if engines == nil {
		engines = []EngineStatus{}
	}
	return c.JSON(http.StatusOK, EngineList{Engines: engines})
}
