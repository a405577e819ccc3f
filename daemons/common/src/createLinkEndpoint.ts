import { watchFile } from "@knapweedwood/api.http/watchFile";
import type { EntrySettings } from "@knapweedwood/config.settings/entrySettings";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { Random } from "@knapweedwood/core.random/random";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { LinkTls } from "@knapweedwood/links.endpoint/linkTls";
import { WebSocketLinkEndpoint } from "@knapweedwood/links.endpoint/webSocketLinkEndpoint";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import { readFileSync } from "node:fs";
import { isIPv6 } from "node:net";

type LinkSettings = EntrySettings["link"];
type TlsSettings = NonNullable<LinkSettings["tls"]>;

/**
 * Creates the link endpoint of a process from its settings. If TLS is configured, reloads the TLS files when the
 * certificate file or another file in its folder changes.
 *
 * Throws `LINK_PLAIN_REFUSED` if TLS is not configured and the host is not a loopback address, because links without
 * TLS must not leave the machine. Throws the file system's error if a TLS file can't be read.
 */
export function createLinkEndpoint(opts: {
    identity: PeerIdentity;
    link: LinkSettings;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
}): LinkEndpoint {
    const { link, logger } = opts;
    const { tls, host, port } = link;
    if (tls === undefined && !isLoopback(host)) {
        throw new KnapweedError("LINK_PLAIN_REFUSED", `Links on ${host} require TLS`, {
            hint: "Set link.tls, or set link.host to a loopback address",
        });
    }
    const endpoint = new WebSocketLinkEndpoint({
        ...opts,
        host,
        port,
        tls: tls === undefined ? undefined : readTls(tls),
    });
    if (tls !== undefined) {
        watchFile(tls.certificateFile, () => reloadCertificates(endpoint, tls, logger));
    }
    return endpoint;
}

function readTls(tls: TlsSettings): LinkTls {
    return {
        certificate: readFileSync(tls.certificateFile, "utf8"),
        privateKey: readFileSync(tls.keyFile, "utf8"),
        authorities: readFileSync(tls.authorityFile, "utf8"),
    };
}

function reloadCertificates(endpoint: WebSocketLinkEndpoint, tls: TlsSettings, logger: Logger): void {
    try {
        endpoint.reloadTls(readTls(tls));
        logger.info("link-certificate-reloaded");
    }
    catch (error) {
        logger.warn("link-certificate-unreadable", { error: String(error) });
    }
}

function isLoopback(host: string): boolean {
    return isIPv6(host) ? host === "::1" : host.startsWith("127.") || host === "localhost";
}
