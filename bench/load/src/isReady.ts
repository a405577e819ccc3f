import { once } from "node:events";
import { connect } from "node:net";
import { request } from "undici";
import type { Readiness } from "./readiness.js";

const PROBE_TIMEOUT_MS = 1000;
const OK_STATUS = 200;

/** Checks once whether a process is ready. Returns false where the probe fails or times out. */
export async function isReady(readiness: Readiness): Promise<boolean> {
    try {
        return readiness.kind === "url" ? await respondsOk(readiness.url) : await acceptsConnections(readiness.port);
    }
    catch {
        return false;
    }
}

async function respondsOk(url: string): Promise<boolean> {
    const response = await request(url, { signal: AbortSignal.timeout(PROBE_TIMEOUT_MS) });
    await response.body.dump();
    return response.statusCode === OK_STATUS;
}

async function acceptsConnections(port: number): Promise<boolean> {
    const socket = connect(port, "127.0.0.1");
    try {
        await once(socket, "connect", { signal: AbortSignal.timeout(PROBE_TIMEOUT_MS) });
        return true;
    }
    finally {
        socket.destroy();
    }
}
