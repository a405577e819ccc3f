import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { isIPv4, isIPv6 } from "node:net";
import type { HostPort } from "./hostPort.js";

const MAX_PORT = 65_535;
const DECIMAL = /^\d{1,5}$/u;
const HOST_NAME = /^[a-z\d]([a-z\d-]*[a-z\d])?(\.[a-z\d]([a-z\d-]*[a-z\d])?)*$/iu;
/** A host whose last label is a number is an IPv4 address for URLs, whatever its other labels are. */
const ENDS_WITH_NUMBER = /(^|\.)(\d+|0x[\da-f]*)$/iu;

/** Parses `host:port`. Throws `ADDRESS_INVALID` if no connection can use the host, or if the port is not in 1 to 65535. */
export function parseHostPort(text: string): HostPort {
    const separator = text.lastIndexOf(":");
    const host = text.slice(0, Math.max(0, separator));
    const portText = text.slice(separator + 1);
    const port = Number(portText);
    if (!isHost(host) || !DECIMAL.test(portText) || port === 0 || port > MAX_PORT) {
        throw new KnapweedError("ADDRESS_INVALID", `${JSON.stringify(text)} is not an address of the form host:port`);
    }
    return { host, port };
}

function isHost(host: string): boolean {
    const isBracketed = host.startsWith("[") && host.endsWith("]");
    return isIPv4(host) || (isBracketed && isIPv6(host.slice(1, -1)))
        || (HOST_NAME.test(host) && !ENDS_WITH_NUMBER.test(host));
}
