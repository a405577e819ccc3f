import type { Link } from "@knapweedwood/links.calls/link";
import type { WebSocketLinkEndpoint } from "@knapweedwood/links.endpoint/webSocketLinkEndpoint";
import type { TcpRelay } from "@knapweedwood/standins.network/tcpRelay";

/** A link through a relay of its own. */
export interface LinkUnderTest {
    endpoint: WebSocketLinkEndpoint;
    relay: TcpRelay;
    link: Link;
}
