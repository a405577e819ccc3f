import { z } from "zod";

const DEFAULT_SHUTDOWN_GRACE_MS = 60_000;

const addressSchema = z.strictObject({ host: z.string().default("127.0.0.1"), port: z.int().min(0).max(65_535) });

const tlsSchema = z.strictObject({
    certificateFile: z.string(),
    keyFile: z.string(),
    /** Certificate authority that the certificate of the peer is verified against. */
    authorityFile: z.string(),
});

/** Schema fields of the settings that entries and sides share. */
export const processSettingsShape = {
    instanceId: z.string().min(1),
    region: z.string().min(1),
    zone: z.string().min(1),
    /** Address on which links from other processes are accepted. */
    link: addressSchema.extend({ tls: tlsSchema.optional() }),
    logs: z.strictObject({ level: z.enum(["debug", "info", "warn", "error"]).default("info") }).default({
        level: "info",
    }),
    metrics: z.strictObject({ host: z.string(), port: z.int().min(1).max(65_535) }).optional(),
    traces: z.strictObject({
        otlpUrl: z.string().optional(),
        file: z.string().optional(),
        sampleRatio: z.number().min(0).max(1).default(1),
    }).optional(),
    /** How long calls in progress may still run during a planned shutdown. */
    shutdownGraceMs: z.int().min(0).default(DEFAULT_SHUTDOWN_GRACE_MS),
};
