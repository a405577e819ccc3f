const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

/** Encodes a configuration of a version with one team, which holds the keys and the key `lasting`. */
export function configurationOf(version: number, keys: string[]): Uint8Array {
    const tenants = [{ name: "t", apiKeys: ["lasting", ...keys] }];
    return Buffer.from(JSON.stringify({ version, routes: [], services: [], limits, tenants }));
}
