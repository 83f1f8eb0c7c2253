// `roarr` reads this variable when it is loaded and writes nothing unless it is set, so this module has to
// be imported before it.
process.env.ROARR_LOG = 'true';
