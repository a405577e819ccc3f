import type { CallAdmission } from "@knapweedwood/api.callers/callAdmission";

/** Admits every call. */
export const unlimitedAdmission: CallAdmission = { admit: () => () => undefined };
